# Measures with callgrind the instructions that libcarobwind (the kernel) executes
# per request under the fixed load of `bench_decisions steady`, which are the same
# in each run of a build: tclsh bench/instructions.tcl. The bound is 10 % above the
# value in the last line of bench/instructions.txt.

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
set per_request [expr {double($sum) / $requests}]
set file [open [file join $root bench instructions.txt]]
set baseline [lindex [split [string trim [read $file]] \n] end]
close $file
set ok [expr {$per_request <= 1.1 * $baseline}]
puts [format "%-48s %10.0f      <= %9.0f  %-4s %s" \
    "kernel instructions a request" $per_request [expr {1.1 * $baseline}] \
    [expr {$ok ? "ok" : "MISS"}] "regression: 10 % over $baseline"]
exit [expr {!$ok}]
