# Connections that drop all traffic without being closed, endpoints that leave,
# and graceful shutdown of hosts.

scenario silent-to-endpoint \
    "connections to the primary drop all traffic; requests are retried" {
    fleet
    set result [run_under_load 7 {
        silence [primary_of db1]
    }]
    # Requests in flight are retried on new connections within their deadline.
    expect {[dict get $result payment notrun] == 0} $result
    expect {[dict get $result payment unknown] == 0} $result
    expect {[dict get $result payment gap_ms] < 1000} $result
    expect_answered_within main 2000
    expect {[dict get [endpoint_state [primary_of db1]] term] == 1}
}

# Expects that each request of a load was answered within `limit_ms`.
proc expect_answered_within {name limit_ms} {
    set file [open [dict get $fleet::loads $name].journal]
    set rows [checker::parse_journal [read $file]]
    close $file
    foreach row $rows {
        if {[dict get $row end] - [dict get $row start] > $limit_ms * 1000} {
            error "not answered within $limit_ms ms: $row"
        }
    }
}

scenario silent-between-daemons \
    "connections between the owner and other daemons drop all traffic" {
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

scenario silent-to-callers \
    "connections from callers to the hosts drop all traffic" {
    fleet -hosts 4
    run_under_load 12 {
        foreach host $fleet::hosts {
            fleet::fault $host [list silence 127.$fleet::block.3.1]
        }
    } -patience 2500
}

# Returns the number of statements that an endpoint has executed.
proc statement_count {name} {
    return [dict get [resp::call [dict get $fleet::settings $name address] \
        STATS] statements]
}

# Expects that a leaving endpoint receives no new statements from 4 s after the
# call on. Returns after 5.5 s.
proc expect_no_new_statements {name} {
    after 4000
    set before [statement_count $name]
    after 1500
    set after [statement_count $name]
    if {$after != $before} {
        error "$name received [expr {$after - $before}] new statements from 4 s on"
    }
}

scenario replica-leaves-by-inventory \
    "a replica marked as leaving in the inventory receives no new statements" {
    fleet
    run_under_load 9 {
        write_conf [regsub {(db1-b \{[^\}]*slots = \d+)} [read_conf] \
            {\1 leaving = true}]
        ctl --yes apply $fleet::conf
        expect_no_new_statements db1-b
    }
    expect {[statement_count db1-b] > 0}
}

scenario primary-leaves-by-inventory \
    "a primary marked as leaving in the inventory hands over; no write fails" {
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

scenario primary-leaves-by-list \
    "a primary listed as leaving by the platform hands over" {
    fleet
    run_under_load 9 {
        set_listed_state db1-a leaving
        expect_no_new_statements db1-a
    }
    expect {[primary_of db1] ne "db1-a"}
}

# Expects that no request was interrupted: each was answered at its first
# attempt.
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

scenario graceful-stop \
    "SIGTERM to the owner under load interrupts no request" {
    fleet -hosts 5
    run_under_load 8 {
        set took [stop [owner_of db1]]
    } -mix "payment:write:60,balance:read:120,reading:transaction:20"
    expect_no_interrupted_requests main
    expect {$took < 10000} $took
}

scenario stop-answers-what-it-has \
    "SIGTERM to two hosts: statements in flight are done, marked \"closing\"" {
    # One of the hosts owns the database, the other forwards to it.
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

scenario drained-by-tool \
    "carobwindctl drain stops the owner without interrupting a request" {
    fleet -hosts 5
    run_under_load 8 {
        set owner [owner_of db1]
        fleet::allow_exit $owner
        ctl drain $owner
        eventually {![fleet::is_running $owner]}
    }
    expect_no_interrupted_requests main
}

scenario rolling-restart \
    "all daemons are restarted one at a time without interrupting a request" {
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
