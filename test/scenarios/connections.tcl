# Connections that go silent for good, leaving hosts and graceful shutdown.

scenario silent-to-endpoint "connections to the primary go silent" {
    fleet
    set result [run_under_load 7 {
        silence [primary_of db1]
    }]
    # What was on its way is tried again on new connections, in time.
    expect {[dict get $result payment notrun] == 0} $result
    expect {[dict get $result payment unknown] == 0} $result
    expect {[dict get $result payment gap_ms] < 1000} $result
    expect_answered_within main 2000
    expect {[dict get [endpoint_state [primary_of db1]] term] == 1}
}

# Each request of the journal was answered within the time.
proc expect_answered_within {name limit_ms} {
    set file [open [dict get $fleet::loads $name].journal]
    set rows [checker::parse_journal [read $file]]
    close $file
    foreach row $rows {
        if {[dict get $row end] - [dict get $row start] > $limit_ms * 1000} {
            error "over $limit_ms ms: $row"
        }
    }
}

scenario silent-between-daemons "connections between daemons go silent" {
    fleet -hosts 5
    set result [run_under_load 7 {
        set owner [owner_of db1]
        foreach host $fleet::hosts {
            if {$host ne $owner} {
                silence $owner $host
            }
        }
    }]
    expect {[dict get $result payment unknown] == 0} $result
    expect {[dict get $result payment p99_ms] < 2000} $result
}

scenario silent-to-callers "connections of callers to an entry go silent" {
    fleet -hosts 4
    run_under_load 12 {
        foreach host $fleet::hosts {
            fleet::fault $host [list silence 127.$fleet::block.3.1]
        }
    } -patience 2500
}

# The statements that an endpoint ran until now.
proc statement_count {name} {
    return [dict get [resp::call [dict get $fleet::settings $name address] \
        STATS] statements]
}

# An endpoint that leaves receives nothing new after a few seconds.
proc expect_no_new_statements {name} {
    after 4000
    set before [statement_count $name]
    after 1500
    set after [statement_count $name]
    if {$after != $before} {
        error "$name received [expr {$after - $before}] statements after 4 s"
    }
}

scenario replica-leaves-by-inventory "a replica is marked as leaving" {
    fleet
    run_under_load 9 {
        write_conf [regsub {(db1-b \{[^\}]*slots = \d+)} [read_conf] \
            {\1 leaving = true}]
        ctl --yes apply $fleet::conf
        expect_no_new_statements db1-b
    }
    expect {[statement_count db1-b] > 0}
}

scenario primary-leaves-by-inventory "the primary is marked as leaving" {
    fleet
    set result [run_under_load 9 {
        write_conf [regsub {(db1-a \{[^\}]*slots = \d+)} [read_conf] \
            {\1 leaving = true}]
        ctl --yes apply $fleet::conf
        expect_no_new_statements db1-a
    }]
    expect {[primary_of db1] ne "db1-a"}
    expect {[dict get $result payment notrun] == 0} $result
    expect {[dict get $result payment unknown] == 0} $result
}

scenario primary-leaves-by-list "the platform's list says that it leaves" {
    fleet
    run_under_load 9 {
        set_host_state db1-a leaving
        expect_no_new_statements db1-a
    }
    expect {[primary_of db1] ne "db1-a"}
}

# No request was cut: each was answered at the first attempt.
proc expect_no_interrupted_requests {name} {
    set file [open [dict get $fleet::loads $name].journal]
    set rows [checker::parse_journal [read $file]]
    close $file
    foreach row $rows {
        if {[dict get $row attempts] != 1 ||
            [dict get $row outcome] in {noanswer unknown}} {
            error "cut: $row"
        }
    }
}

scenario graceful-stop "SIGTERM to a daemon under load cuts no request" {
    fleet -hosts 5
    run_under_load 8 {
        set took [stop [owner_of db1]]
    } -mix "payment:write:60,balance:read:120,reading:transaction:20"
    expect_no_interrupted_requests main
    expect {$took < 10000} $took
}

scenario stop-answers-what-it-has \
    "SIGTERM to an entry with slow statements in flight: all are answered" {
    fleet -hosts 4
    set owner [owner_of db1]
    set entry [lindex [lsearch -all -inline -not -exact $fleet::hosts $owner] 0]
    set_endpoint [primary_of db1] service_ms 600
    foreach host [list $entry $entry $entry $owner $owner $owner] {
        set channel [resp::open [dict get $fleet::settings $host address]]
        resp::send $channel [list STMT db1 payment "put slow [incr i]" \
            DEADLINE 5000]
        lappend channels $channel
    }
    after 100
    fleet::signal $entry TERM
    fleet::signal $owner TERM
    foreach channel $channels {
        set answer [resp::receive $channel 5000]
        expect {[lindex $answer 0] eq "done"} $answer
        expect {[lindex $answer 4] eq "closing"} $answer
        close $channel
    }
    eventually {![fleet::is_running $entry] && ![fleet::is_running $owner]}
}

scenario drained-by-tool "carobwindctl drain stops a daemon gracefully" {
    fleet -hosts 5
    run_under_load 8 {
        set owner [owner_of db1]
        fleet::expect_exit $owner
        ctl drain $owner
        eventually {![fleet::is_running $owner]}
    }
    expect_no_interrupted_requests main
}

scenario rolling-restart "all daemons are restarted one after the other" {
    fleet -hosts 5
    run_under_load 26 {
        foreach host $fleet::hosts {
            stop $host
            start $host
            after 1200
        }
    }
    expect_no_interrupted_requests main
    foreach name $fleet::endpoints {
        set stats [resp::call [dict get $fleet::settings $name address] STATS]
        expect {[dict get $stats connections_highest] <= 50} $stats
    }
}
