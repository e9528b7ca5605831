# Prints as Markdown where a day of the users' bench lost requests:
#   fleetbench run SITE DAY --log all --report REPORT > LOG
#   tclsh bench/losses.tcl REPORT LOG
# For the ten worst windows of two seconds: how the requests ended, and the
# causes that the hosts' logs give for requests that were not done. Then how the
# last attempts of requests that were not served ended, and the prices.

package require json

lassign $argv report_path log_path
set file [open $report_path]
set report [json::json2dict [read $file]]
close $file

# The count by window (its first second) and cause. A log line of the bench begins
# with the simulated time and the name of the host.
set causes [dict create]
set log [open $log_path]
fconfigure $log -encoding binary
while {[gets $log line] >= 0} {
    if {[regexp {^\s*(-?[\d.]+) \S+ .*event=not-done .*outcome=(\S+) cause=(\S+) verb=(\S+)} \
            $line -> time outcome cause verb]} {
        set window [expr {int(floor($time / 2)) * 2}]
        set counts [expr {[dict exists $causes $window] ?
            [dict get $causes $window] : [dict create]}]
        dict incr counts "$cause ($outcome)"
        dict set causes $window $counts
    }
}
close $log

proc describe {counts} {
    set parts {}
    foreach {cause count} [lsort -stride 2 -index 1 -integer -decreasing $counts] {
        lappend parts "$count $cause"
    }
    return [join [lrange $parts 0 4] ", "]
}

puts "| from second | asked | in aim | late | refused | failed | worth | hosts' causes |"
puts "| --- | --- | --- | --- | --- | --- | --- | --- |"
set windows {}
foreach window [dict get $report windows] {
    lappend windows [list [dict get $window worth] $window]
}
set worst [lrange [lsort -real -index 0 $windows] 0 9]
foreach entry [lsort -integer -command {apply {{a b} {
    expr {[dict get [lindex $a 1] name] - [dict get [lindex $b 1] name]}
}}} $worst] {
    set window [lindex $entry 1]
    set name [dict get $window name]
    puts "| $name | [dict get $window n] | [dict get $window in_aim] | [dict get $window late] |\
        [dict get $window refused] | [dict get $window failed] | [dict get $window worth] |\
        [expr {[dict exists $causes $name] ? [describe [dict get $causes $name]] : ""}] |"
}
puts "\nnot served, by how the last try ended:"
foreach entry [dict get $report unserved_by] {
    puts "- [lindex $entry 0]: [lindex $entry 1]"
}
puts "\nprices:"
foreach price [dict get $report prices] {
    if {[lindex $price 2] >= 0.0005} {
        puts "- [lindex $price 0]: [format %.4f [lindex $price 2]]"
    }
}
