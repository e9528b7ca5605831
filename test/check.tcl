# Runs all tests: tclsh test/check.tcl ?-jobs N? ?-only PATTERN?
# Closes with "N passed, N failed". What KNOWN-RED.txt lists may fail; it is
# printed, and counts as neither.

set root [file dirname [file dirname [file normalize [info script]]]]
set jobs 4
set only *
foreach {option value} $argv {
    set [string range $option 1 end] $value
}

set passed 0
set failed 0
set red {}

# The tests that KNOWN-RED.txt lists: the first word of each line that is not
# a comment or indented.
proc known_red {} {
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

proc record {name ok text} {
    if {$ok} {
        incr ::passed
        puts "passed $name $text"
    } elseif {$name in $::known} {
        lappend ::red $name
        puts "KNOWN RED $name $text"
    } else {
        incr ::failed
        puts "FAILED $name $text"
    }
    flush stdout
}

# Runs a GLib test program; each of its cases counts.
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
        record $label-program 0 "ended early or was reported by a sanitizer"
    } else {
        record $label-program 1 ""
    }
}

proc run_tcltest {path} {
    catch {exec tclsh $path 2>@1} output
    set ok [regexp {Passed\s+(\d+)\s+Skipped\s+0\s+Failed\s+0} $output -> count]
    if {!$ok} {
        puts $output
    }
    record [file rootname [file tail $path]] $ok \
        [expr {$ok ? "($count cases)" : ""}]
}

# Scenarios run a few at a time, each in a process with its own addresses.

set waiting {}
set running 0
set block 100

proc start_scenario {} {
    if {[llength $::waiting] == 0} {
        return
    }
    set ::waiting [lassign $::waiting name]
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
    set ::changed 1
}

proc run_scenarios {} {
    set list [exec tclsh [file join $::root test scenarios.tcl] -list]
    foreach line [split $list \n] {
        set name [lindex [split $line \t] 0]
        if {[string match $::only $name]} {
            lappend ::waiting $name
        }
    }
    for {set i 0} {$i < $::jobs} {incr i} {
        start_scenario
    }
    while {$::running > 0} {
        vwait ::changed
    }
}

# Seeds of the soak that failed once; comments begin with #.
proc run_kept_seeds {} {
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

# One scenario with all programs under the sanitizers, which must report nothing.
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
            append output " (a sanitizer reported in [file tail $log])"
        }
        close $file
    }
    record sanitized/$name $ok [expr {$ok ? "" : $output}]
}

set known [known_red]
set outputs [dict create]
if {$only eq "*"} {
    run_tcltest [file join $root test checker.test]
    run_tcltest [file join $root test fleet.test]
    run_glib kernel [file join $root build bin test_libcarobwind]
    run_glib sanitized [file join $root build-asan bin test_libcarobwind] \
        -p /fuzz -p /inventory -p /membership -p /owner -p /queue -p /token \
        -p /tenure -p /pool -p /registry -p /session -p /platform -p /limit -p /route -p /delta -p /admission -p /confirm
}
run_scenarios
if {$only eq "*"} {
    run_kept_seeds
    run_sanitized_scenario bad-input
}
if {[llength $red] > 0} {
    puts "known red, see KNOWN-RED.txt: $red"
}
puts "$passed passed, $failed failed"
exit [expr {$failed > 0}]
