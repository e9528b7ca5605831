# Failovers: each must complete within 19 s (the users' target), lose no
# acknowledged write and execute no write twice.

set gap_limit_ms 19000

# Runs a load of writes and reads, and `body`, which injects failures, 1.5 s
# after its start; then checks the history and the gap in service of each kind.
# Returns the results by kind.
proc run_under_load {seconds body args} {
    start_load main -seconds $seconds {*}$args
    after 1500
    uplevel 1 $body
    set result [dict get [load_result main] kinds]
    check_history
    dict for {kind results} $result {
        if {[dict get $results done] == 0} {
            error "no request of kind $kind was done"
        }
        if {[dict get $results gap_ms] > $::gap_limit_ms} {
            error "no service for $kind for [dict get $results gap_ms] ms"
        }
    }
    return $result
}

scenario primary-killed "the primary is killed under load" {
    fleet
    run_under_load 6 {
        set old [primary_of db1]
        kill $old
    }
    expect {[primary_of db1] ne $old}
}

scenario primary-killed-returns \
    "the killed primary restarts with its old log and follows the new one" {
    fleet
    run_under_load 7 {
        set old [primary_of db1]
        kill $old
        eventually {[primary_of db1] ni [list "" $old]}
        start $old
    }
    eventually {[dict get [endpoint_state $old] follows] ==
        [dict get [endpoint_state [primary_of db1]] term]}
    eventually {[dict get [endpoint_state $old] position] ==
        [dict get [endpoint_state [primary_of db1]] position]}
}

scenario primary-frozen \
    "the primary is suspended, replaced and resumed; it must step down" {
    fleet
    run_under_load 8 {
        set old [primary_of db1]
        suspend $old
        after 3000
        expect {[dict get [endpoint_state db1-b] primary] ||
            [dict get [endpoint_state db1-c] primary]}
        resume $old
    }
    expect {[primary_of db1] ne $old}
    eventually {[dict get [endpoint_state $old] primary] == 0}
}

scenario primary-cut-off \
    "the primary, a daemon and its callers are cut off; the callers keep writing" {
    fleet -hosts 6
    set old [primary_of db1]
    set minority host1
    set majority {host2 host3 host4 host5 host6}
    set others [lsearch -all -inline -not -exact $fleet::endpoints $old]
    start_load minority -hosts $minority -seconds 6 -from 127.$fleet::block.3.2 \
        -mix "payment:write:60,quick:write:40,balance:read:60"
    start_load majority -hosts $majority -seconds 8 \
        -mix "payment:write:60,balance:read:60"
    after 1500
    partition [list $old $minority] [concat $majority $others platform]
    eventually {[dict get [endpoint_state db1-b] primary] ||
        [dict get [endpoint_state db1-c] primary]}
    after 2500
    heal
    load_result minority
    set result [load_result majority]
    check_history
    expect {[dict get $result kinds payment gap_ms] < $::gap_limit_ms}
}

scenario replicas-behind "the primary is killed while replicas lag by 0.8 s" {
    fleet -lag 800
    run_under_load 9 {
        kill [primary_of db1]
    } -mix "payment:write:40,balance:read:60"
}

scenario two-promotions \
    "hosts are partitioned when the primary is killed; both sides may promote" {
    fleet -hosts 4 -centres {north south}
    run_under_load 8 {
        partition {host1 host3} {host2 host4}
        after 1500
        kill [primary_of db1]
        after 3000
        heal
    }
    expect {[counter_sum promotions_started_total] >= 1}
}

scenario promoter-killed \
    "the promoting daemon is killed at different steps of the promotion" {
    fleet -hosts 6 -endpoints 5 -centres {north south west}
    start_load main -seconds 14 -mix "payment:write:60,balance:read:60"
    after 1500
    # A primary not heard from for 450 ms (Cbw_OWNER_PRIMARY_TIMEOUT) is replaced:
    # the owner dies about when the promotion begins, and at two later moments.
    foreach wait {450 560 640} {
        set owner [owner_of db1]
        set old [primary_of db1]
        kill $old
        after $wait
        kill $owner
        eventually {[primary_of db1] ni [list "" $old]}
        start $old
        start $owner
        after 1500
    }
    set result [load_result main]
    check_history
    expect {[dict get $result kinds payment gap_ms] < $::gap_limit_ms}
}

scenario primary-and-owner-killed \
    "the primary and the owner are killed at the same moment" {
    fleet -hosts 6
    run_under_load 8 {
        set owner [owner_of db1]
        kill [primary_of db1]
        kill $owner
    }
}

scenario failover-term-moves \
    "the primary is killed three times; each promotion raises the term" {
    fleet
    run_under_load 14 {
        for {set i 0} {$i < 3} {incr i} {
            set old [primary_of db1]
            kill $old
            eventually {[primary_of db1] ni [list "" $old]}
            start $old
            after 1500
        }
    }
    expect {[dict get [endpoint_state [primary_of db1]] term] >= 4}
}
