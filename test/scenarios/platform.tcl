# Outages of the platform's service, lost answers, races of operators.

scenario platform-down "service goes on while the platform is down" {
    fleet
    run_under_load 7 {
        set_platform_mode down
        after 4000
        set_platform_mode up
    }
    set kinds [dict get [json::json2dict [exec cat \
        [dict get $fleet::loads main].json]] kinds]
    expect {[dict get $kinds payment gap_ms] < 1000} $kinds
}

scenario platform-slow "the platform answers after 600 ms, a primary dies" {
    fleet
    run_under_load 9 {
        set_platform_mode slow 250
        kill [primary_of db1]
    }
}

scenario platform-and-primary-gone \
    "the platform is down when the primary dies; both are mended later" {
    fleet
    run_under_load 12 {
        set_platform_mode down
        after 300
        set old [primary_of db1]
        kill $old
        after 4000
        expect {[primary_of db1] eq ""}
        set_platform_mode up
        eventually {[primary_of db1] ni [list "" $old]} 8000
    }
}

scenario swap-answer-lost \
    "the store carries out the promotion's swap, its answer is lost" {
    fleet
    run_under_load 8 {
        set_platform_mode lose 1
        kill [primary_of db1]
    }
}

scenario watch-goes-deaf "watches never fire; a change still spreads" {
    fleet
    set_platform_mode deafwatch
    set text [read_conf]
    write_conf "$text\n# touched\n"
    ctl --yes apply $fleet::conf
    eventually {[configuration_versions] eq {2}} 15000
}

proc read_conf {} {
    set file [open $fleet::conf]
    set text [read $file]
    close $file
    return $text
}

proc write_conf {text} {
    set file [open $fleet::conf w]
    puts -nonewline $file $text
    close $file
}

# The configuration versions that the running hosts have in force.
proc configuration_versions {} {
    set found {}
    foreach host $fleet::hosts {
        if {[fleet::is_running $host]} {
            set status [exec [file join $fleet::bin carobwindctl] \
                --host=[dict get $fleet::settings $host peers] status]
            regexp -line {^configuration\s+(\d+)} $status -> version
            lappend found $version
        }
    }
    return [lsort -unique $found]
}

scenario configuration-spreads "a change is in force everywhere within 4 s" {
    fleet -hosts 12
    write_conf "[read_conf]\n# touched\n"
    ctl --yes apply $fleet::conf
    set begin [clock milliseconds]
    eventually {[configuration_versions] eq {2}} 4000
    puts "in force on 12 hosts after [expr {[clock milliseconds] - $begin}] ms"
}

scenario operators-race "two operators apply at the same moment" {
    fleet -hosts 3
    set text [read_conf]
    set files {}
    for {set i 0} {$i < 8} {incr i} {
        set path [file join $fleet::dir operator$i.conf]
        set file [open $path w]
        puts $file "$text\n# operator $i"
        close $file
        lappend files $path
    }
    set channels {}
    foreach path $files {
        lappend channels [open "|[file join $fleet::bin carobwindctl]\
            --platform=[dict get $fleet::settings platform address] --yes\
            --base=1 apply $path 2>@1"]
    }
    set won 0
    set lost 0
    foreach channel $channels {
        set output [read $channel]
        if {[catch {close $channel}]} {
            expect {[string match "*another operator was first*" $output]} \
                $output
            incr lost
        } else {
            incr won
        }
    }
    expect {$won == 1 && $lost == 7} "won $won lost $lost"
    eventually {[configuration_versions] eq {2}}
}

scenario apply-answer-lost "the answer to an apply is lost after it took" {
    fleet -hosts 3
    write_conf "[read_conf]\n# touched\n"
    set_platform_mode lose 1
    set output [ctl --yes apply $fleet::conf]
    expect {[string match "*applied as version 2*" $output]} $output
    eventually {[configuration_versions] eq {2}}
}

scenario host-starts-without-platform \
    "a new host starts and serves while the platform is down" {
    fleet -hosts 4
    set_platform_mode down
    fleet::add_host host9 9 north
    dict set fleet::settings host9 arguments [concat \
        [dict get $fleet::settings host9 arguments] \
        --join=[dict get $fleet::settings host1 peers]]
    start host9
    eventually {[lindex [request host9 \
        {STMT db1 payment "put x 1"}] 0] eq "done"}
}

scenario old-configuration-returns \
    "a daemon that was frozen over a change comes back and never reverts it" {
    fleet -hosts 5
    freeze host3
    write_conf "[read_conf]\n# touched\n"
    ctl --yes apply $fleet::conf
    after 1500
    write_conf "[read_conf]\n# touched again\n"
    ctl --yes apply $fleet::conf
    after 1500
    thaw host3
    eventually {[configuration_versions] eq {3}}
    for {set i 0} {$i < 20} {incr i} {
        expect {[configuration_versions] eq {3}}
        after 100
    }
    expect_versions_increase
}

# No host ever put a lower version in force than it had.
proc expect_versions_increase {} {
    foreach host $fleet::hosts {
        set last 0
        foreach {line version} [regexp -all -inline -line \
                {event=in-force version=(\d+)} [fleet::read_log $host]] {
            expect {$version > $last} "$host went from $last to $version"
            set last $version
        }
    }
}

scenario lease-lapses "a lease that lapses under a paused holder is no lock" {
    fleet -hosts 1
    set store [dict get $fleet::settings platform address]
    expect {[lindex [resp::call $store {LEASE 1 l holder-1 200}] 1] eq "ok"}
    expect {[lindex [resp::call $store {LEASE 1 l holder-2 200}] 1] eq "held"}
    after 300
    expect {[lindex [resp::call $store {LEASE 1 l holder-2 200}] 1] eq "ok"}
    # Nothing of the product asks for a lease: see docs/DESIGN.md.
    set found [exec grep -rlE {"LEASE"} [file join $fleet::root src]]
    expect {[llength $found] == 1} $found
}
