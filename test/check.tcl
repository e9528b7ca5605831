# Runs all tests: tclsh test/check.tcl ?-jobs N? ?-only PATTERN?
# PATTERN selects scenarios and leaves out all other tests. The last line of the
# output is "N passed, N failed". A failure of a test listed in KNOWN-RED.txt is
# printed, but counts neither as passed nor as failed.

set root [file dirname [file dirname [file normalize [info script]]]]
set jobs 4
set only *
foreach {option value} $argv {
    set [string range $option 1 end] $value
}

set passed 0
set failed 0
set known_failures {} ;# tests of KNOWN-RED.txt that failed

# Returns the tests listed in KNOWN-RED.txt: the first word of each line that is
# neither a comment nor indented.
proc read_tolerated_tests {} {
    set path [file join $::root KNOWN-RED.txt]
    set names {}
    if {[file exists $path]} {
        set file [open $path]
        foreach line [split [read $file] \n] {
            if {[regexp {^[^\s#]} $line]} {
                lappend names [lindex $line 0]
            }
        }
        close $file
    }
    return $names
}

# Counts and prints the result of a test.
proc record {name ok text} {
    if {$ok} {
        incr ::passed
        puts "passed $name $text"
    } elseif {$name in $::tolerated_tests} {
        lappend ::known_failures $name
        puts "KNOWN RED $name $text"
    } else {
        incr ::failed
        puts "FAILED $name $text"
    }
    flush stdout
}

# Runs a GLib test program and records each of its cases. LABEL-program records
# whether it ran at least one case and to its end, without an abort ("Bail out",
# at a failed assertion) or an error that a sanitizer reported. Also prints the
# explorer's lines with the number of states.
proc run_glib {label program args} {
    catch {exec $program {*}$args 2>@1} output
    set cases 0
    foreach line [split $output \n] {
        if {[regexp {^(ok|not ok) \d+ (\S+)} $line -> verdict name]} {
            incr cases
            if {$verdict eq "not ok"} {
                puts [string range $output end-3000 end]
            }
            record $label$name [expr {$verdict eq "ok"}] ""
        } elseif {[regexp {^# \S+: \d+ states} $line]} {
            puts $line
        }
    }
    if {$cases == 0 || [string match "*Bail out*" $output] ||
        [string match "*ERROR: *Sanitizer*" $output] ||
        [string match "*runtime error*" $output]} {
        puts [string range $output end-3000 end]
        record $label-program 0 "ran no case, aborted or failed under a sanitizer"
    } else {
        record $label-program 1 ""
    }
}

# Runs a tcltest file and records it as one test.
proc run_tcltest {path} {
    catch {exec tclsh $path 2>@1} output
    set ok [regexp {Passed\s+(\d+)\s+Skipped\s+0\s+Failed\s+0} $output -> count]
    if {!$ok} {
        puts $output
    }
    record [file rootname [file tail $path]] $ok \
        [expr {$ok ? "($count cases)" : ""}]
}

# Scenarios run `jobs` at a time, each in its own process with its own block of
# addresses. Those whose names begin with "client-" measure memory under load: they
# run after all others, one at a time.

set pending {}
set running 0
set block 100

# Starts the next pending scenario, if any.
proc start_scenario {} {
    if {[llength $::pending] == 0} {
        return
    }
    set ::pending [lassign $::pending name]
    incr ::running
    incr ::block
    set channel [open "|tclsh [file join $::root test scenarios.tcl]\
        -block $::block $name 2>@1"]
    fconfigure $channel -blocking 0
    fileevent $channel readable [list on_output $channel $name]
    dict set ::outputs $channel ""
}

proc on_output {channel name} {
    dict append ::outputs $channel [read $channel]
    if {![eof $channel]} {
        return
    }
    catch {close $channel}
    set output [string trim [dict get $::outputs $channel]]
    set last [lindex [split $output \n] end]
    record $name [string match "passed *" $last] \
        [regsub {^\S+ \S+ ?} $last ""]
    incr ::running -1
    start_scenario
    set ::scenario_ended 1
}

# Runs the scenarios of a list, `count` at a time.
proc run_concurrently {names count} {
    set ::pending $names
    for {set i 0} {$i < $count} {incr i} {
        start_scenario
    }
    while {$::running > 0} {
        vwait ::scenario_ended
    }
}

proc run_scenarios {} {
    set list [exec tclsh [file join $::root test scenarios.tcl] -list]
    set concurrent {}
    set alone {}
    foreach line [split $list \n] {
        set name [lindex [split $line \t] 0]
        if {[string match client-* $name]} {
            lappend alone $name
        } else {
            lappend concurrent $name
        }
    }
    run_concurrently [lsearch -all -inline $concurrent $::only] $::jobs
    if {$::only eq "*"} {
        run_recorded_seeds
        run_sanitized_scenario bad-input
    }
    run_concurrently [lsearch -all -inline $alone $::only] 1
}

# Runs the soak with each seed of test/soak-seeds.txt; all of them failed in the
# past.
proc run_recorded_seeds {} {
    set path [file join $::root test soak-seeds.txt]
    if {![file exists $path]} {
        return
    }
    set file [open $path]
    foreach line [split [read $file] \n] {
        if {[regexp {^\d+} $line seed]} {
            catch {exec tclsh [file join $::root test scenarios.tcl] \
                -seed $seed -block 98 soak 2>@1} output
            record soak/$seed [string match "*passed soak*" $output] \
                [lindex [split $output \n] end]
        }
    }
    close $file
}

# Runs a scenario with all programs under the sanitizers, which must not report
# an error.
proc run_sanitized_scenario {name} {
    set ::env(CAROBWIND_BIN) [file join $::root build-asan bin]
    catch {exec tclsh [file join $::root test scenarios.tcl] -block 99 $name \
        2>@1} output
    unset ::env(CAROBWIND_BIN)
    set ok [string match "passed *" $output]
    foreach log [glob -nocomplain [file join $::root build test-run-99 *.log]] {
        set file [open $log]
        if {[regexp {ERROR: \S*Sanitizer|runtime error} [read $file]]} {
            set ok 0
            append output " (a sanitizer reported an error in [file tail $log])"
        }
        close $file
    }
    record sanitized/$name $ok [expr {$ok ? "" : $output}]
}

set tolerated_tests [read_tolerated_tests]
set outputs [dict create]
if {$only eq "*"} {
    run_tcltest [file join $root test checker.test]
    run_tcltest [file join $root test fleet.test]
    run_glib kernel [file join $root build bin test_libcarobwind]
    run_glib sanitized [file join $root build-asan bin test_libcarobwind] \
        -p /access -p /fuzz -p /inventory -p /membership -p /owner -p /queue -p /token \
        -p /tenure -p /nonce -p /pool -p /pool-fleet -p /registry -p /placement \
        -p /spread -p /gate -p /liveness -p /bootstrap -p /odd-records \
        -p /session -p /platform -p /limit -p /route -p /delta -p /admission \
        -p /confirm -p /given-up-calls -p /traffic -p /quota -p /pool-quota \
        -p /memory-budget -p /local-health -p /witness -p /connection-cache \
        -p /connection-driver -p /transaction-driver -p /queue-fair -p /scheduling -p /read-dispatch \
        -p /pool-reads -p /regions -p /offload -p /acceptor -p /compression -p /store-relay -p /statement-text \
        -p /peer-calls
}
run_scenarios
if {[llength $known_failures] > 0} {
    puts "known red, see KNOWN-RED.txt: $known_failures"
}
puts "$passed passed, $failed failed"
exit [expr {$failed > 0}]
