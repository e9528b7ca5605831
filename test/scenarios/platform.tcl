# Outages of the platform, lost answers of its store, and operators who apply
# at the same time.

scenario platform-down "the platform is down; service continues" {
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

scenario platform-slow \
    "the platform answers 250 ms late while the primary is killed" {
    fleet
    run_under_load 9 {
        set_platform_mode slow 250
        kill [primary_of db1]
    }
}

scenario platform-and-primary-gone \
    "the primary is killed while the platform is down; promotion waits" {
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
    "the store swaps the group's record for a promotion; its answer is lost" {
    fleet
    run_under_load 8 {
        set_platform_mode lose 1
        kill [primary_of db1]
    }
}

scenario watch-goes-deaf \
    "watches report no change; a change still reaches every host" {
    fleet
    set_platform_mode deafwatch
    set text [read_conf]
    write_conf "$text\n# touched\n"
    ctl --yes apply $fleet::conf
    eventually {[configuration_versions] eq {2}} 15000
}

# Returns the text of the current inventory.
proc read_conf {} {
    set file [open $fleet::conf]
    set text [read $file]
    close $file
    return $text
}

# Replaces the text of the current inventory.
proc write_conf {text} {
    set file [open $fleet::conf w]
    puts -nonewline $file $text
    close $file
}

# Returns the distinct configuration versions in force on the running hosts.
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

scenario configuration-spreads \
    "an applied change is in force on all 12 hosts within 4 s" {
    fleet -hosts 12
    write_conf "[read_conf]\n# touched\n"
    ctl --yes apply $fleet::conf
    set begin [clock milliseconds]
    eventually {[configuration_versions] eq {2}} 4000
    puts "in force on 12 hosts after [expr {[clock milliseconds] - $begin}] ms"
}

scenario operators-race \
    "eight operators apply at the same moment; one succeeds" {
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
    set succeeded 0
    set rejected 0
    foreach channel $channels {
        set output [read $channel]
        if {[catch {close $channel}]} {
            expect {[string match "*another operator was first*" $output]} \
                $output
            incr rejected
        } else {
            incr succeeded
        }
    }
    expect {$succeeded == 1 && $rejected == 7} \
        "succeeded $succeeded rejected $rejected"
    eventually {[configuration_versions] eq {2}}
}

scenario apply-answer-lost \
    "an apply takes effect, but the store's answer is lost" {
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
    "a daemon suspended during two changes resumes and does not revert them" {
    fleet -hosts 5
    suspend host3
    write_conf "[read_conf]\n# touched\n"
    ctl --yes apply $fleet::conf
    after 1500
    write_conf "[read_conf]\n# touched again\n"
    ctl --yes apply $fleet::conf
    after 1500
    resume host3
    eventually {[configuration_versions] eq {3}}
    for {set i 0} {$i < 20} {incr i} {
        expect {[configuration_versions] eq {3}}
        after 100
    }
    expect_versions_increase
}

# Expects that the versions put in force by each host only ever increase.
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

scenario lease-lapses \
    "an expired lease can be taken by another holder; no program requests one" {
    fleet -hosts 1
    set store [dict get $fleet::settings platform address]
    expect {[lindex [resp::call $store {LEASE 1 l holder-1 200}] 1] eq "ok"}
    expect {[lindex [resp::call $store {LEASE 1 l holder-2 200}] 1] eq "held"}
    after 300
    expect {[lindex [resp::call $store {LEASE 1 l holder-2 200}] 1] eq "ok"}
    # No program requests a lease, see docs/DESIGN.md: the only source file that
    # names the request is the one that serves it.
    set found [exec grep -rlE {"LEASE"} [file join $fleet::root src]]
    expect {[llength $found] == 1} $found
}
