# Read-your-writes consistency and bounded staleness.

scenario read-your-writes \
    "sessions change hosts and read their own writes while replicas lag" {
    fleet -lag 150 -hosts 6
    start_load main -seconds 6 -sessions 60 \
        -mix "quick:write:60,account:read:200,balance:read:60"
    set result [load_result main]
    check_history
    expect {[dict get $result kinds account done] > 500} $result
}

scenario read-your-writes-failover \
    "sessions read their own writes across a failover" {
    fleet -lag 50 -hosts 6
    run_under_load 8 {
        kill [primary_of db1]
    } -mix "payment:write:60,account:read:150,balance:read:60"
}

scenario lost-write-is-told \
    "a read with the token of a write lost in a failover is refused as such" {
    fleet
    foreach name $fleet::endpoints {
        set_endpoint $name lag_ms 20000
    }
    set answer [request host1 {STMT db1 quick "put doomed 1"}]
    expect {[lindex $answer 0] eq "done"} $answer
    set token [lindex $answer 2]
    kill [primary_of db1]
    eventually {[primary_of db1] ne ""}
    set answer {}
    eventually {[lindex [set answer [request host2 \
        [list STMT db1 account "get doomed" TOKEN $token]]] 0] eq "notrun" &&
        [string match "*lost in a failover*" [lindex $answer 1]]} 8000
}

scenario age-is-kept "a read never returns data older than its age limit" {
    fleet -lag 1500
    for {set i 1} {$i <= 6} {incr i} {
        set answer [request host1 [list STMT db1 quick "put clock $i"]]
        expect {[lindex $answer 0] eq "done"} $answer
        after 600
        # The write is older than the limit of 500 ms: each host must show it.
        foreach host $fleet::hosts {
            set answer [request $host {STMT db1 balance "get clock" AGE 500}]
            expect {[lrange $answer 0 1] eq [list done clock=$i]} $answer
        }
    }
}

scenario cut-off-reads \
    "a partitioned owner refuses reads whose age it cannot prove" {
    fleet -hosts 4 -centres {north south}
    set minority [list host1 [primary_of db1]]
    set majority [concat {host2 host3 host4 platform} \
        [lsearch -all -inline -not -exact $fleet::endpoints \
        [primary_of db1]]]
    partition $minority $majority
    after 3500
    set answer [request host1 {STMT db1 balance "get x"}]
    expect {[lindex $answer 0] ne "done"} $answer
    set answer [request host1 {STMT db1 latest "get x"}]
    expect {[lindex $answer 0] ne "done"} $answer
    heal
    eventually {[lindex [request host1 {STMT db1 latest "get x"}] 0] eq "done"}
}
