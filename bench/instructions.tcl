# Instructions of the kernel for each request, by callgrind: the same in each
# run of one build. tclsh bench/instructions.tcl. The bound is a tenth over the
# figure kept in bench/instructions.txt.

set root [file dirname [file dirname [file normalize [info script]]]]
set program [file join $root build bin bench_decisions]
set out [file join $root build callgrind.out]

if {[auto_execok valgrind] eq ""} {
    puts "instructions: valgrind is not installed: not run"
    exit 0
}
set output [exec valgrind --tool=callgrind --callgrind-out-file=$out \
    $program steady 2>@1]
regexp {requests (\d+)} $output -> requests
set sum 0
foreach line [split [exec callgrind_annotate --auto=no --threshold=100 $out] \n] {
    if {[regexp {^\s*([\d,]+) .*src/libcarobwind/[a-z_]+\.c:} $line -> count] ||
        [regexp {^\s*([\d,]+) .*include/carobwind/list\.h:} $line -> count]} {
        incr sum [string map {, ""} $count]
    }
}
set each [expr {double($sum) / $requests}]
set file [open [file join $root bench instructions.txt]]
set kept [lindex [split [string trim [read $file]] \n] end]
close $file
set ok [expr {$each <= 1.1 * $kept}]
puts [format "%-48s %10.0f      <= %9.0f  %-4s %s" \
    "kernel instructions a request" $each [expr {1.1 * $kept}] \
    [expr {$ok ? "ok" : "MISS"}] "regression: a tenth over $kept"]
exit [expr {!$ok}]
