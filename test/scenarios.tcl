# Runs scenarios: tclsh test/scenarios.tcl ?-seed N? ?-block N? ?-list? NAME...
# Each runs in a process of its own with addresses of its own.

source [file join [file dirname [file normalize [info script]]] lib fleet.tcl]

set scenarios [dict create]

proc scenario {name description body} {
    dict set ::scenarios $name [dict create description $description body $body]
}

foreach file [lsort [glob [file join $fleet::root test scenarios *.tcl]]] {
    source $file
}

# Runs one scenario here. Returns "" or what failed.
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
            puts "FAILED $name: there is no such scenario"
            incr failed
            continue
        }
        set begin [clock milliseconds]
        set wrong [run_scenario $name]
        set took [format %.1f [expr {([clock milliseconds] - $begin) / 1000.0}]]
        if {$wrong eq ""} {
            puts "passed $name ($took s, seed $fleet::seed)"
        } else {
            puts "FAILED $name ($took s, seed $fleet::seed): $wrong"
            incr failed
        }
    }
    return [expr {$failed > 0}]
}

exit [main $argv]
