# Measures the messages, calls, CPU time and memory of an idle fleet, by the number
# of its hosts and databases, for docs/CAPACITY.md:
#   tclsh bench/capacity.tcl ?SECONDS?     SECONDS: length of each measurement

source [file join [file dirname [file dirname [file normalize [info script]]]] \
    test lib fleet.tcl]

set measurement_seconds [expr {[llength $argv] > 0 ? [lindex $argv 0] : 8}]
set fleet::block 230

# Writes an inventory of `count` databases, whose endpoints are served by three
# processes that listen on all addresses of the block.
proc write_inventory {path count} {
    set file [open $path w]
    foreach centre {north south west east} {
        puts $file "data-centre $centre { region = \"r\" }"
    }
    puts $file {
rank urgent { floor = 0 }
rank lookup { floor = 10 }
kind payment { rank = "urgent" writes = true }
kind balance { rank = "lookup" age = "2s" }}
    for {set d 1} {$d <= $count} {incr d} {
        puts $file "database db$d {"
        foreach e {1 2 3} centre {north south west} {
            set ip 127.$fleet::block.[expr {4 + $d / 250}].[expr {1 + $d % 250}]
            puts $file "    endpoint db$d-$e { data-centre = \"$centre\"\
                address = \"$ip:740$e\" connections = 50 slots = 3 }"
        }
        puts $file "}"
    }
    close $file
}

# Starts a fleet of `hosts` daemons for `databases` databases. Returns, for each
# daemon and second, peer messages, bytes, state calls, store calls and percent
# of a processor (ticks of 10 ms per second), then the resident memory of each
# daemon in MB and the time in ms until a configuration change is in force.
proc measure {hosts databases} {
    variable fleet::settings
    incr fleet::block
    fleet -start 0 -hosts $hosts -centres {north south west east} -databases 1
    # The shared endpoints replace those that `fleet` has defined.
    set fleet::endpoints {}
    foreach e {1 2 3} {
        set name shared-$e
        set arguments [list --listen=0.0.0.0:740$e --connections=100000 \
            --service-ms=1 --connect-ms=0]
        if {$e == 1} {
            lappend arguments --primary
        }
        dict set settings $name [dict create program carobwind-endpoint \
            address 127.$fleet::block.4.1:740$e arguments $arguments]
        start $name
    }
    start platform
    set conf [file join $fleet::dir capacity.conf]
    write_inventory $conf $databases
    ctl --yes apply $conf
    foreach name $fleet::hosts {
        set_listed_state $name live
        start $name
    }
    # Wait until the membership updates of the start have reached all hosts.
    after [expr {4000 + 300 * $hosts + 20 * $databases}]
    set before [sample]
    after [expr {$::measurement_seconds * 1000}]
    set after [sample]
    set rates [mean_rates $before $after]
    set memory_kb [memory_sum_kb]
    set in_force_ms [measure_in_force_ms $conf]
    fleet::kill_all
    after 300
    return [concat $rates [expr {$memory_kb / 1024.0 / $hosts}] $in_force_ms]
}

# Returns for each host the time in seconds, its counters and its processor
# time in ticks.
proc sample {} {
    set samples [dict create]
    foreach host $fleet::hosts {
        set text [exec [file join $fleet::bin carobwindctl] \
            --host=[dict get $fleet::settings $host peers] counters]
        set row [list [expr {[clock microseconds] / 1e6}]]
        foreach name {peer_control_messages_total peer_control_bytes_total
                state_calls_total store_calls_total} {
            regexp -line "^carobwind_$name (\\d+)" $text -> value
            lappend row $value
        }
        set file [open /proc/[fleet::pid $host]/stat]
        set fields [lrange [split [regsub {^.*\) } [read $file] ""]] 11 12]
        close $file
        dict set samples $host [concat $row \
            [expr {[lindex $fields 0] + [lindex $fields 1]}]]
    }
    return $samples
}

# Returns the mean over the hosts of the growth of each value per second. The
# hosts are sampled at different times, since querying them takes a while.
proc mean_rates {before after} {
    set sums {0 0 0 0 0}
    dict for {host row} $after {
        set first [dict get $before $host]
        set seconds [expr {[lindex $row 0] - [lindex $first 0]}]
        set next {}
        foreach sum $sums a [lrange $row 1 end] b [lrange $first 1 end] {
            lappend next [expr {$sum + ($a - $b) / $seconds}]
        }
        set sums $next
    }
    return [lmap sum $sums {expr {$sum / [dict size $after]}}]
}

# Returns the sum of the resident memory of all daemons in KB.
proc memory_sum_kb {} {
    set sum 0
    foreach host $fleet::hosts {
        set file [open /proc/[fleet::pid $host]/status]
        regexp {VmRSS:\s+(\d+)} [read $file] -> size
        close $file
        incr sum $size
    }
    return $sum
}

# Returns the time until a configuration change is in force on all hosts,
# according to their logs.
proc measure_in_force_ms {conf} {
    set file [open $conf a]
    puts $file "# touched"
    close $file
    set begin [clock milliseconds]
    ctl --yes apply $conf
    after 5000
    set last 0
    foreach host $fleet::hosts {
        if {![regexp {(\S+)\.(\d+)Z [^\n]*event=in-force version=2} \
                [fleet::read_log $host] -> second millisecond]} {
            error "the change is not in force on $host"
        }
        set at [expr {[clock scan $second -gmt 1 -format %Y-%m-%dT%H:%M:%S] *
            1000 + [scan $millisecond %d]}]
        set last [expr {max($last, $at)}]
    }
    return [expr {$last - $begin}]
}

proc print_row {hosts databases row} {
    lassign $row messages bytes state_calls store_calls cpu_percent memory_mb \
        in_force_ms
    puts [format "%6d %10d %11.2f %9.0f %9.2f %9.3f %9.3f %8.2f %9d" $hosts \
        $databases $messages $bytes $state_calls $store_calls $cpu_percent \
        $memory_mb $in_force_ms]
    flush stdout
}

# Returns the memory of one caller connection in KB: the mean of `count`
# connections that have each sent a request.
proc measure_session_kb {count} {
    fleet -hosts 1 -centres {north}
    set before [memory_sum_kb]
    set channels {}
    for {set i 0} {$i < $count} {incr i} {
        set channel [resp::open [dict get $fleet::settings host1 address]]
        resp::send $channel {STMT db1 account "get x"}
        resp::receive $channel
        lappend channels $channel
    }
    set after [memory_sum_kb]
    foreach channel $channels {
        close $channel
    }
    fleet::kill_all
    return [expr {double($after - $before) / $count}]
}

puts [format "memory of a caller's connection: %.2f KB" [measure_session_kb 4000]]
puts "Each daemon of an idle fleet, per second: messages and bytes between daemons,\
    state calls,\ncalls to the store, percent of a processor; then resident memory,\
    time until a change is in force."
puts [format "%6s %10s %11s %9s %9s %9s %9s %8s %9s" hosts databases \
    "peer msgs" "bytes" "states" "store" "CPU %" "RSS MB" "change ms"]
foreach {hosts databases} {2 3  4 3  8 3  16 3  32 3  64 3  96 3
        4 30  4 100  4 300} {
    print_row $hosts $databases [measure $hosts $databases]
}
