# Loss of owners, with requests in flight, in queues and in transactions.

set transaction_mix \
    "payment:write:50,balance:read:80,reading:transaction:30"

scenario owner-killed "the owner is killed with requests in flight" {
    fleet -hosts 6
    storm 6 {
        kill [owner_of db1]
    }
}

scenario owner-killed-in-transactions "the owner is killed in transactions" {
    fleet -hosts 6
    storm 7 {
        kill [owner_of db1]
    } -mix $::transaction_mix
}

scenario owner-frozen "the owner is frozen and thawed, transactions open" {
    fleet -hosts 6
    storm 9 {
        set owner [owner_of db1]
        freeze $owner
        after 3000
        thaw $owner
    } -mix $::transaction_mix
}

scenario owner-killed-with-queue "the owner is killed with a long queue" {
    fleet -hosts 6 -service 20
    storm 8 {
        kill [owner_of db1]
    } -mix "payment:write:30,balance:read:900" -sessions 300
}

scenario two-owners "two daemons both own a database for a while" {
    fleet -hosts 6
    storm 8 {
        cut {host1 host4} {host2 host3 host5 host6}
        after 4000
        heal
    } -mix $::transaction_mix
    foreach name $fleet::endpoints {
        set stats [resp::ask [dict get $fleet::settings $name address] STATS]
        expect {[dict get $stats connections_highest] <= 50} $stats
        expect {[dict get $stats connections_refused] == 0} $stats
    }
}

scenario primary-killed-in-transactions "the primary dies in transactions" {
    fleet
    storm 7 {
        kill [primary_of db1]
    } -mix $::transaction_mix
}

scenario caller-gone-in-transaction \
    "a caller that goes away in a transaction leaves nothing behind" {
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
    "the same payment through another entry while the first still runs" {
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

scenario transactions-apart "transactions of many callers never mix" {
    fleet -hosts 4
    work storm -seconds 5 -sessions 80 \
        -mix "payment:transaction:120,reading:transaction:60,balance:read:60"
    set result [work_result storm]
    check_history
    expect {[dict get $result kinds payment done] > 100} $result
}

scenario answers-out-of-order \
    "slow and fast answers share the connection between two daemons" {
    fleet -hosts 2 -centres {north} -databases 3 -service 1
    foreach name {db1-a db1-b db1-c} {
        set_endpoint $name service_ms 150
    }
    foreach name {db2-a db2-b db2-c} {
        set_endpoint $name service_ms 20
    }
    work storm -seconds 5 -sessions 90 \
        -mix "payment:write:60,account:read:150,latest:read:40"
    set result [work_result storm]
    check_history
    expect {[dict get $result kinds account done] > 100} $result
}
