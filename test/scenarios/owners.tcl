# Loss of the owner while requests are in flight, queued or in transactions,
# and isolation of requests and transactions from each other.

set transaction_mix \
    "payment:write:50,balance:read:80,reading:transaction:30"

scenario owner-killed "the owner is killed with requests in flight" {
    fleet -hosts 6
    run_under_load 6 {
        kill [owner_of db1]
    }
}

scenario owner-killed-in-transactions \
    "the owner is killed while transactions are open" {
    fleet -hosts 6
    run_under_load 7 {
        kill [owner_of db1]
    } -mix $::transaction_mix
}

scenario owner-frozen \
    "the owner is suspended and resumed while transactions are open" {
    fleet -hosts 6
    run_under_load 9 {
        set owner [owner_of db1]
        suspend $owner
        after 3000
        resume $owner
    } -mix $::transaction_mix
}

scenario owner-killed-with-queue "the owner is killed with a long queue" {
    fleet -hosts 6 -service 20
    run_under_load 8 {
        kill [owner_of db1]
    } -mix "payment:write:30,balance:read:900" -sessions 300
}

scenario two-owners \
    "a partition may give a database two owners; connection limits are kept" {
    fleet -hosts 6
    run_under_load 8 {
        partition {host1 host4} {host2 host3 host5 host6}
        after 4000
        heal
    } -mix $::transaction_mix
    foreach name $fleet::endpoints {
        set stats [resp::call [dict get $fleet::settings $name address] STATS]
        expect {[dict get $stats connections_highest] <= 50} $stats
        expect {[dict get $stats connections_refused] == 0} $stats
    }
}

scenario primary-killed-in-transactions \
    "the primary is killed while transactions are open" {
    fleet
    run_under_load 7 {
        kill [primary_of db1]
    } -mix $::transaction_mix
}

scenario caller-gone-in-transaction \
    "an open transaction is discarded when its caller disconnects" {
    fleet
    set channel [resp::open [dict get $fleet::settings host1 address]]
    resp::send $channel {BEGIN db1 payment}
    expect {[lindex [resp::receive $channel] 0] eq "done"}
    resp::send $channel {STMT db1 payment "put gone 1"}
    expect {[lindex [resp::receive $channel] 0] eq "done"}
    close $channel
    after 500
    expect {[lindex [request host2 {STMT db1 latest "get gone"}] 1] eq "gone="}
}

scenario same-payment-twice \
    "a payment sent to several hosts while the first runs is executed once" {
    fleet -service 300
    set channels {}
    foreach host {host1 host2 host3} {
        set channel [resp::open [dict get $fleet::settings $host address]]
        resp::send $channel {STMT db1 payment "add balance 5" KEY twice-1}
        lappend channels $channel
    }
    foreach channel $channels {
        set answer [resp::receive $channel 8000]
        expect {[lrange $answer 0 1] eq {done balance=5}} $answer
        close $channel
    }
    set answer [request host4 {STMT db1 payment "add balance 5" KEY twice-1}]
    expect {[lrange $answer 0 1] eq {done balance=5}} $answer
    set answer [request host5 {STMT db1 latest "get balance"}]
    expect {[lindex $answer 1] eq "balance=5"} $answer
}

scenario transactions-apart \
    "concurrent transactions of many callers stay separate" {
    fleet -hosts 4
    start_load main -seconds 6 -sessions 80 \
        -mix "payment:transaction:120,reading:transaction:60,balance:read:60"
    # Transactions of slow callers stay open while others begin and commit.
    for {set i 1} {$i <= 8} {incr i} {
        set host host[expr {1 + $i % 4}]
        set channel [resp::open [dict get $fleet::settings $host address]]
        dict set open $i $channel
        run_transaction_step $channel {BEGIN db1 payment}
        run_transaction_step $channel [list STMT db1 payment "put pair.slow.$i.a $i"]
    }
    after 1500
    dict for {i channel} $open {
        run_transaction_step $channel [list STMT db1 payment "put pair.slow.$i.b $i"]
        set answer [run_transaction_step $channel {COMMIT db1 payment}]
        expect {[lindex $answer 1] eq \
            "pair.slow.$i.a=$i;pair.slow.$i.b=$i"} $answer
        close $channel
    }
    set result [load_result main]
    check_history
    expect {[dict get $result kinds payment done] > 100} $result
}

# Runs one step of a slow caller's transaction and expects that it is done.
proc run_transaction_step {channel words} {
    resp::send $channel $words
    set answer [resp::receive $channel 8000]
    expect {[lindex $answer 0] eq "done"} "$words: $answer"
    after 30
    return $answer
}

scenario answers-out-of-order \
    "slow and fast answers come out of order on a connection between daemons" {
    fleet -hosts 2 -centres {north} -databases 3 -service 1
    foreach name {db1-a db1-b db1-c} {
        set_endpoint $name service_ms 150
    }
    foreach name {db2-a db2-b db2-c} {
        set_endpoint $name service_ms 20
    }
    start_load main -seconds 5 -sessions 90 \
        -mix "payment:write:60,account:read:150,latest:read:40"
    set result [load_result main]
    check_history
    expect {[dict get $result kinds account done] > 100} $result
}

scenario statement-outlives-deadline \
    "statements still running at their deadline are cancelled or reported unknown" {
    fleet
    set_endpoint [primary_of db1] service_ms 3000
    start_load main -seconds 6 -sessions 30 -attempts 1 -mix "payment:write:6"
    set result [load_result main]
    after 5000
    check_history
    set payment [dict get $result kinds payment]
    expect {[dict get $payment notrun] > 0} $payment
}

scenario bad-input \
    "malformed input to each port does not disturb other requests" {
    fleet -hosts 2 -centres {north}
    start_load main -seconds 6 -mix "payment:write:40,balance:read:60"
    set targets {}
    foreach name {host1 platform db1-a db1-b} {
        lappend targets [dict get $fleet::settings $name address]
    }
    lappend targets [dict get $fleet::settings host1 peers]
    expr {srand($fleet::seed)}
    for {set round 0} {$round < 150} {incr round} {
        foreach target $targets {
            send_malformed $target $round
        }
    }
    set result [load_result main]
    check_history
    foreach name {host1 host2 platform db1-a db1-b db1-c} {
        expect {[fleet::is_running $name]} $name
    }
    expect {[dict get $result kinds payment unknown] == 0} $result
    expect {[dict get $result kinds payment done] > 100} $result
    expect {[resident_memory_kb host1] < 64000} [resident_memory_kb host1]
}

# Sends one of several malformed messages: random, truncated, too long, too
# deeply nested or of the wrong type. `round` selects it.
proc send_malformed {address round} {
    set messages [list \
        "*3\r\n\$4\r\nSTMT\r\n" "*2000000000\r\n" "\$-1\r\n" ":5\r\n" \
        "*1\r\n*1\r\n*1\r\n\$1\r\na\r\n" "*1\r\n\$2000000000\r\n" \
        "*4\r\n\$4\r\nSTMT\r\n\$3\r\ndb1\r\n\$1\r\nx\r\n\$1\r\ny\r\n" \
        "GET / HTTP/1.0\r\n\r\n" "\x80\x00\x00\x28[random_bytes 40]" \
        "\x7f\xff\xff\xff[random_bytes 300]" [random_bytes 500] \
        "*1\r\n\$70000\r\n[string repeat x 70000]\r\n"]
    if {[catch {resp::open $address} channel]} {
        error "$address refuses connections after $round rounds"
    }
    catch {
        puts -nonewline $channel [lindex $messages \
            [expr {$round % [llength $messages]}]]
        flush $channel
    }
    catch {close $channel}
}

proc random_bytes {count} {
    set bytes ""
    for {set i 0} {$i < $count} {incr i} {
        append bytes [format %c [expr {int(rand() * 256)}]]
    }
    return $bytes
}

# Returns the resident memory of a process in KB.
proc resident_memory_kb {name} {
    set file [open /proc/[fleet::pid $name]/status]
    regexp {VmRSS:\s+(\d+)} [read $file] -> size
    close $file
    return $size
}
