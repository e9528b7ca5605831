# Runs scenarios: tclsh test/scenarios.tcl ?-seed N? ?-block N? ?-list? NAME...
# -block selects the loopback addresses 127.N.0.0/16. Scenarios that run at the
# same time need different blocks and separate processes. Without -block, 40 is
# used. The other users of blocks, some of which must not run at the same time:
#   20           make demo and examples/tadla.conf
#   21           examples/slinne.conf
#   98, 99       check.tcl: recorded seeds of the soak, sanitized scenario
#   101 and up   check.tcl: one for each scenario
#   150 to 209   make soak
#   201 and up   bench/bench.tcl
#   216 and up   mutants.tcl
#   230 and up   bench/capacity.tcl

source [file join [file dirname [file normalize [info script]]] lib fleet.tcl]

set scenarios [dict create]

# Defines a scenario. It passes if its body raises no error and no process of
# the fleet exits unexpectedly.
proc scenario {name description body} {
    dict set ::scenarios $name [dict create description $description body $body]
}

foreach file [lsort [glob [file join $fleet::root test scenarios *.tcl]]] {
    source $file
}

# Runs a scenario. Returns "" or the error message.
proc run_scenario {name} {
    set body [dict get $::scenarios $name body]
    set code [catch {
        apply [list {} $body]
        fleet::check_alive
    } message options]
    fleet::kill_all
    if {$code && [info exists ::env(VERBOSE)]} {
        puts [dict get $options -errorinfo]
    }
    return [expr {$code ? $message : ""}]
}

proc main {arguments} {
    set names {}
    while {[llength $arguments] > 0} {
        set arguments [lassign $arguments word]
        switch -- $word {
            -seed { set arguments [lassign $arguments fleet::seed] }
            -block { set arguments [lassign $arguments fleet::block] }
            -list {
                dict for {name scenario} $::scenarios {
                    puts "$name\t[dict get $scenario description]"
                }
                return 0
            }
            default { lappend names $word }
        }
    }
    set failed 0
    foreach name $names {
        if {![dict exists $::scenarios $name]} {
            puts "FAILED $name: no such scenario"
            incr failed
            continue
        }
        set begin [clock milliseconds]
        set failure [run_scenario $name]
        set seconds [format %.1f [expr {([clock milliseconds] - $begin) / 1000.0}]]
        if {$failure eq ""} {
            puts "passed $name ($seconds s, seed $fleet::seed)"
        } else {
            puts "FAILED $name ($seconds s, seed $fleet::seed): $failure"
            incr failed
        }
    }
    return [expr {$failed > 0}]
}

exit [main $argv]
