# Several regions: north is in one, south and west are in the other. The primary
# e-1 is in north at first.

# Starts six hosts, two in each data centre, which know the regions.
proc wire::region_fleet {} {
    variable regions {north one south two west two}
    fleet 6
    set regions {}
}

# Returns the lines of the hosts' logs with `event`: a list of host and line.
proc wire::region_events {event} {
    set found {}
    for {set i 1} {$i <= 6} {incr i} {
        set channel [open [fleet::log_file host$i]]
        foreach line [split [read $channel] "\n"] {
            if {[string match "* event=$event *" $line]} {
                lappend found [list host$i $line]
            }
        }
        close $channel
    }
    return $found
}

# Checks that the owner moved once, by a hand-over from north to the data centre of
# the present primary.
proc wire::expect_one_handover {} {
    eventually {[llength [wire::region_events handed-over]] > 0} 9000
    set events [region_events handed-over]
    expect {[llength $events] == 1} $events
    lassign [lindex $events 0] host line
    expect {$host in {host1 host4}} $line
    expect {[regexp { to=(host\d)} $line - next]} $line
    set centre [dict get {e-2 {host2 host5} e-3 {host3 host6}} [control primary]]
    expect {$next in $centre} "$line; the primary is [control primary]"
}

# Checks that no write fails while the owner moves, and that it moves once. Called
# after the promotion.
proc wire::write_through_handover {} {
    set outcomes [lindex [write_under_load 6 {}] 0]
    expect {[lsort -unique [dict values $outcomes]] eq "done"} \
        [lsort -unique [dict values $outcomes]]
    expect_one_handover
    check_writes $outcomes 0
}

scenario wire-regions-primary-leaves \
    "the primary leaves for the other region; its owner follows by one hand-over" {
    wire::region_fleet
    lassign [wire::write_under_load 2 { wire::control leave e-1 }] outcomes
    wire::check_writes $outcomes 0
    expect {[llength [wire::region_events handed-over]] == 0}
    wire::write_through_handover
}

scenario wire-regions-primary-killed \
    "the primary is killed, a replica of the other region promoted" {
    wire::region_fleet
    lassign [wire::write_under_load 3 { wire::control kill e-1 }] outcomes
    wire::check_writes $outcomes 1
    expect {[llength [wire::region_events handed-over]] == 0}
    wire::write_through_handover
}

# Returns the sum of a counter over the hosts.
proc wire::sum_counter {name hosts} {
    set sum 0
    foreach host $hosts {
        if {[regexp "\ncarobwind_$name (\\d+)" [http_get $host 7201 /metrics] - value]} {
            incr sum $value
        }
    }
    return $sum
}

scenario wire-regions-reads \
    "reads of the other region are served there, see the session's writes, and continue when the owner is lost" {
    wire::region_fleet
    set a [wire::connect host2 own]
    set late 0
    for {set i 0} {$i < 150} {incr i} {
        if {$i % 10 == 0} {
            expect {[wire::query $a "WRITE k v$i"] eq {done {} I}}
            set value v$i
        }
        expect {[wire::query $a "READ k"] eq [list done $value I]} $i
        after 10
    }
    set south {host2 host3 host5 host6}
    set dispatched [wire::sum_counter reads_dispatched_total $south]
    set back [wire::sum_counter reads_handed_back_total $south]
    expect {$dispatched > 75} "dispatched $dispatched, handed back $back"
    expect {[wire::sum_counter reads_dispatched_total {host1 host4}] == 0}
    # A transaction that only reads, as a whole at the dispatcher.
    set b [wire::connect host3 old]
    expect {[wire::query $b "BEGIN READ"] eq {done {} T}}
    expect {[lindex [wire::query $b "READ k"] 0] eq "done"}
    after 700 ;# longer than a lease
    expect {[lindex [wire::query $b "READ k"] 0] eq "done"}
    expect {[wire::query $b "COMMIT"] eq {done {} I}}
    # The primary is replaced: nothing is read that the promotion discarded.
    wire::control kill e-1
    set outcomes {}
    for {set i 0} {$i < 100} {incr i} {
        lappend outcomes [lindex [wire::query $a "READ k"] 0]
        after 30
    }
    expect {[lindex $outcomes end] eq "done"} $outcomes
    expect {[wire::query $a "WRITE k w"] eq {done {} I}}
    expect {[wire::query $a "READ k"] eq {done w I}}
}

# Writes and reads `count` values in a session. Each read returns the value that
# was written last, and none is refused.
proc wire::expect_own_writes {channel prefix count} {
    for {set i 0} {$i < $count} {incr i} {
        expect {[query $channel "WRITE k $prefix$i"] eq {done {} I}} $prefix$i
        foreach repeated {1 2 3} {
            set answer [query $channel "READ k"]
            expect {$answer eq [list done $prefix$i I]} "$prefix$i: $answer"
        }
    }
}

scenario wire-regions-dispatcher-pauses \
    "a read dispatcher is suspended, resumes with outdated samples, and is killed" {
    wire::region_fleet
    set c [wire::connect host2 own]
    wire::query $c "READ k"
    eventually {[llength [wire::region_events reads-started]] > 0}
    set dispatcher [lindex [wire::region_events reads-started] 0 0]
    set others [lsearch -all -inline -not -exact {host2 host3 host5 host6} $dispatcher]
    expect {[llength $others] == 3} $dispatcher
    set a [wire::connect [lindex $others 0] own]
    set b [wire::connect [lindex $others 1] own]
    wire::expect_own_writes $a a 10
    fleet::signal $dispatcher STOP
    wire::expect_own_writes $b b 10
    after 1500
    fleet::signal $dispatcher CONT
    wire::expect_own_writes $a c 10
    fleet::allow_exit $dispatcher
    fleet::signal $dispatcher KILL
    wire::expect_own_writes $b d 10
    after 1500
    set before [wire::sum_counter reads_dispatched_total $others]
    wire::expect_own_writes $a e 20
    # The next host in order has become the dispatcher.
    set after [wire::sum_counter reads_dispatched_total $others]
    expect {$after - $before > 20} "$before, then $after"
}
