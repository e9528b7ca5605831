# Random faults on real processes before the platform's stand-in, by seed:
#   make scenario NAME=soak SEED=7        one seed
#   make soak SEEDS=50                    many; failed ones go to test/soak-seeds.txt

namespace eval soak {
    variable hosts {host1 host2 host3}
    variable busy [dict create] ;# subject of a fault under way
    variable problems {}
    variable endpoint_kills 0
    variable config_version 1
    variable story {}
}

# A number from 0 to below `limit`.
proc soak::pick {limit} {
    return [expr {int(rand() * $limit)}]
}

proc soak::one_of {list} {
    return [lindex $list [pick [llength $list]]]
}

# Runs a step of a fault at its time; an error in it fails the soak.
proc soak::later {milliseconds args} {
    after $milliseconds [list soak::step {*}$args]
}

proc soak::step {args} {
    variable problems
    if {[catch {uplevel #0 $args} message]} {
        lappend problems "$args: $message"
    }
}

# A subject that no fault has now; "" when there is none.
proc soak::take {subjects} {
    variable busy
    set free [lmap s $subjects {
        if {[dict exists $busy $s]} continue
        set s
    }]
    if {[llength $free] == 0} {
        return ""
    }
    set subject [one_of $free]
    dict set busy $subject 1
    return $subject
}

proc soak::free {subject} {
    variable busy
    dict unset busy $subject
}

proc soak::note {what} {
    variable story
    lappend story $what
}

# Faults. Each undoes itself after a while.

# By a process of its own: the callers wait for a frozen host.
proc soak::fault_freeze {host length} {
    set pid [fleet::pid $host]
    exec sh -c "kill -STOP $pid; sleep [expr {$length / 1000.0}]; kill -CONT $pid" &
    later [expr {$length + 200}] soak::free $host
}

proc soak::fault_crash {host length} {
    kill $host
    later $length soak::restart $host
}

proc soak::fault_stop {host length} {
    stop $host
    later $length soak::restart $host
}

proc soak::restart {host} {
    start $host
    free $host
}

proc soak::fault_endpoint {endpoint length} {
    variable endpoint_kills
    incr endpoint_kills
    wire::control kill $endpoint
    later $length soak::revive $endpoint
}

proc soak::revive {endpoint} {
    wire::control start $endpoint
    free $endpoint
}

proc soak::fault_store {mode length} {
    wire::control store $mode
    later $length wire::control store up
    later $length soak::free store
}

proc soak::fault_slow {milliseconds length} {
    wire::control work $milliseconds
    later $length wire::control work 3
    later $length soak::free work
}

# One more route, perhaps while the watches miss it.
proc soak::fault_config {deaf length} {
    variable config_version
    set version [incr config_version]
    set route [subst -nobackslashes -nocommands \
        {{"name":"x$version","database":"soak$version","routeType":"primary","timeoutMs":1500,"targetLatencyMs":0,"priority":0,"service":"svc1"},}]
    wire::control deaf $deaf
    wire::control config [string map [list "\"version\":1," "\"version\":$version," \
        "\"routes\":\[" "\"routes\":\[$route"] $wire::config]
    later $length wire::control deaf 0
    later $length soak::free config
}

proc soak::begin_fault {with_endpoints} {
    variable hosts
    set length [expr {200 + [pick 2500]}]
    set kinds {freeze crash stop store slow config}
    if {$with_endpoints} {
        lappend kinds endpoint endpoint
    }
    set kind [one_of $kinds]
    switch -- $kind {
        freeze - crash - stop { set subject [take $hosts] }
        endpoint { set subject [take {e-1 e-2 e-3}] }
        store { set subject [expr {[take store] ne "" ? [one_of {down reject}] : ""}] }
        slow { set subject [expr {[take work] ne "" ? 10 + [pick 60] : ""}] }
        config { set subject [expr {[take config] ne "" ? [pick 2] : ""}] }
    }
    if {$subject ne ""} {
        note "$kind $subject $length"
        fault_$kind $subject $length
    }
}

# Ends what is still under way.
proc soak::heal {} {
    variable busy
    set until [expr {[clock milliseconds] + 15000}]
    while {[dict size $busy] > 0 && [clock milliseconds] < $until} {
        after 20
        update
    }
    expect {[dict size $busy] == 0} "faults do not end: $busy"
}

scenario soak "random faults of hosts, endpoints, store and configuration" {
    wire::fleet
    expr {srand($fleet::seed)}
    set with_endpoints [soak::pick 2]
    lassign [wire::run_under_load 9 {
        for {set i 0} {$i < 7} {incr i} {
            soak::later [soak::pick 6000] soak::begin_fault $with_endpoints
        }
    }] outcomes
    puts "faults: [join $soak::story {, }]"
    soak::heal
    expect {$soak::problems eq {}} $soak::problems
    foreach host $soak::hosts {
        eventually {[wire::is_ready $host]} 10000
    }
    # All is served again, and the latest configuration is in force.
    lassign [wire::run_under_load 6 {}] after_it
    set late [lrange [dict values $after_it] end-20 end]
    expect {[lsort -unique $late] eq "done"} $late
    if {$soak::config_version > 1} {
        foreach host $soak::hosts {
            eventually {![catch {wire::connect $host soak$soak::config_version}]} 3000
        }
    }
    wire::check_writes [dict merge $outcomes $after_it] \
        [expr {$soak::endpoint_kills > 0}]
    expect {[llength [dict keys $outcomes]] > 20} [dict size $outcomes]
}
