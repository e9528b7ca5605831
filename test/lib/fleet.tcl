# The test language: starts a fleet of real processes on loopback addresses of
# its own and puts failures on it.

set fleet_library [file dirname [file normalize [info script]]]
source [file join $fleet_library resp.tcl]
source [file join $fleet_library checker.tcl]

namespace eval fleet {
    variable root [file dirname [file dirname $::fleet_library]]
    variable bin [file join $root build bin]
    variable block 40
    variable dir ""
    variable pids [dict create]
    variable started [dict create]
    variable ending [dict create] ;# were told to end
    variable settings [dict create]
    variable hosts {}
    variable endpoints {}
    variable databases {}
    variable works [dict create]
    variable seed 1
    variable next_journal 0
    if {[info exists ::env(CAROBWIND_BIN)]} {
        set bin $::env(CAROBWIND_BIN)
    }
}

# Addresses: 127.BLOCK.0.1 platform, .1.N hosts, .2.N endpoints, .3.1 callers.
proc fleet::address {kind number port} {
    variable block
    set network [dict get {platform 0 host 1 endpoint 2 caller 3} $kind]
    return "127.$block.$network.$number:$port"
}

proc fleet::ip {name} {
    variable settings
    return [lindex [split [dict get $settings $name address] :] 0]
}

proc fleet::log_file {name} {
    variable dir
    return [file join $dir $name.log]
}

proc fleet::spawn {name program arguments} {
    variable bin
    variable pids
    set pid [exec [file join $bin $program] {*}$arguments \
        >>& [log_file $name] &]
    track $name $pid
}

# Notes a process with the time at which it started: the system gives the
# number of one that has ended to another, which must not get its signals.
proc fleet::track {name pid} {
    variable pids
    variable started
    variable ending
    dict set pids $name $pid
    dict unset ending $name
    dict set started $name [process_field $pid 19]
}

# Sends a signal to a process of the fleet; an error when it has ended.
proc fleet::signal {name signal} {
    if {![is_running $name]} {
        error "$name has ended by itself: [string range [read_log $name] end-300 end]"
    }
    if {$signal in {TERM KILL}} {
        will_end $name
    }
    exec kill -$signal [pid $name]
}

# Starts a process of the fleet again, with the settings that it had.
proc start {name} {
    variable fleet::settings
    set setting [dict get $settings $name]
    fleet::spawn $name [dict get $setting program] \
        [dict get $setting arguments]
    fleet::wait_port [dict get $setting address] $name
}

proc fleet::wait_port {address name} {
    for {set i 0} {$i < 500} {incr i} {
        if {![catch {resp::open $address} channel]} {
            close $channel
            return
        }
        after 10
    }
    error "$name does not listen on $address: [read_log $name]"
}

proc fleet::read_log {name} {
    if {![file exists [log_file $name]]} {
        return ""
    }
    set file [::open [log_file $name]]
    set text [read $file]
    close $file
    return $text
}

# Describes a fleet. Options: -hosts N, -centres LIST, -databases N,
# -endpoints N, -connections N, -slots N, -service MS, -connect MS, -delay MS,
# -kinds TEXT, -ranks TEXT, -daemon LIST (more flags), -conf FILE (uses its
# databases as they stand), -start 0|1.
proc fleet {args} {
    variable fleet::settings
    set options [dict merge {
        -hosts 5 -centres {north south west} -databases 1 -endpoints 3
        -connections 50 -slots 3 -service 2 -connect 2 -delay 0
        -daemon {} -conf "" -start 1 -lag 0 -data 1
        -ranks {
            rank urgent   { floor = 0 }
            rank standard { floor = 20 }
            rank lookup   { floor = 10 }
        }
        -kinds {
            kind payment { rank = "urgent" writes = true confirm = "position" deadline = 2s }
            kind quick   { rank = "urgent" writes = true confirm = "term" deadline = 2s }
            kind bare    { rank = "urgent" writes = true confirm = "none" deadline = 2s }
            kind reading { rank = "standard" writes = true confirm = "position" deadline = 2s }
            kind balance { rank = "lookup" age = "2s" deadline = 1s }
            kind latest  { rank = "lookup" age = "0s" deadline = 1s }
            kind account { rank = "standard" age = "any" deadline = 1s }
        }
    } $args]
    set fleet::options $options
    set fleet::dir [file join $fleet::root build test-run-$fleet::block]
    file delete -force $fleet::dir
    file mkdir $fleet::dir
    fleet::describe_platform
    fleet::describe_databases
    fleet::describe_hosts
    if {[dict get $options -start]} {
        fleet::start_all
    }
}

proc fleet::describe_platform {} {
    variable settings
    set address [address platform 1 7300]
    dict set settings platform [dict create program carobwind-platform \
        address $address arguments [list --listen=$address \
        --list-lag-ms=300 --reads-per-second=20000 --writes-per-second=4000]]
}

proc fleet::describe_databases {} {
    variable options
    variable conf
    variable databases {}
    variable endpoints {}
    variable centres [dict get $options -centres]
    variable text ""
    if {[dict get $options -conf] ne ""} {
        describe_from_file [dict get $options -conf]
        return
    }
    foreach centre $centres {
        append text "data-centre $centre { region = \"test\" }\n"
    }
    append text [dict get $options -ranks] "\n" [dict get $options -kinds] "\n"
    set number 0
    for {set d 1} {$d <= [dict get $options -databases]} {incr d} {
        lappend databases db$d
        append text "database db$d {\n"
        for {set e 1} {$e <= [dict get $options -endpoints]} {incr e} {
            set name db$d-[string index abcde [expr {$e - 1}]]
            incr number
            set at [lindex $centres [expr {($d + $e - 2) % [llength $centres]}]]
            set where [address endpoint $number 7400]
            append text "    endpoint $name { data-centre = \"$at\" address =\
                \"$where\" connections = [dict get $options -connections]\
                slots = [dict get $options -slots] }\n"
            describe_endpoint $name $where [expr {$e == 1}] \
                [dict get $options -connections] [dict get $options -slots]
        }
        append text "}\n"
    }
    variable dir
    set conf [file join $dir fleet.conf]
    set file [open $conf w]
    puts $file $text
    close $file
}

# Takes the endpoints of an inventory file; each of its lines has one.
proc fleet::describe_from_file {path} {
    variable conf $path
    variable databases
    set file [open $path]
    set first 0
    foreach line [split [read $file] \n] {
        if {[regexp {^database (\S+)} $line -> name]} {
            lappend databases $name
            set first 1
        }
        if {[regexp {endpoint (\S+)\s.*address = "([^"]+)" connections = (\d+) slots = (\d+)} \
                $line -> name where connections slots]} {
            describe_endpoint $name $where $first $connections $slots
            set first 0
        }
    }
    close $file
}

proc fleet::describe_endpoint {name where primary connections slots} {
    variable settings
    variable endpoints
    variable options
    variable dir
    lappend endpoints $name
    set arguments [list --listen=$where --connections=$connections \
        --slots=$slots --service-ms=[dict get $options -service] \
        --connect-ms=[dict get $options -connect] \
        --delay-ms=[dict get $options -delay] \
        --lag-ms=[dict get $options -lag]]
    if {[dict get $options -data]} {
        lappend arguments --data=[file join $dir $name.data]
    }
    if {$primary} {
        lappend arguments --primary
    }
    dict set settings $name [dict create program carobwind-endpoint \
        address $where arguments $arguments]
}

proc fleet::describe_hosts {} {
    variable options
    variable hosts {}
    variable centres
    for {set i 1} {$i <= [dict get $options -hosts]} {incr i} {
        add_host host$i $i [lindex $centres [expr {($i - 1) % [llength $centres]}]]
    }
}

proc fleet::add_host {name number centre} {
    variable settings
    variable options
    variable hosts
    lappend hosts $name
    set callers [address host $number 7000]
    set peers [address host $number 7100]
    dict set settings $name [dict create program carobwindd address $callers \
        peers $peers centre $centre arguments [list --name=$name \
        --data-centre=$centre --callers=$callers --peers=$peers \
        --platform=[dict get $settings platform address] --test-faults \
        {*}[dict get $options -daemon]]]
}

proc fleet::start_all {} {
    variable endpoints
    variable hosts
    variable conf
    start platform
    foreach name $endpoints {
        start $name
    }
    ctl --yes apply $conf
    foreach name $hosts {
        list_host $name live
        start $name
    }
    await_ready
}

# Puts a host or endpoint into the platform's list.
proc list_host {name state} {
    variable fleet::settings
    set setting [dict get $settings $name]
    if {[dict get $setting program] eq "carobwindd"} {
        set words [list $name [dict get $setting centre] \
            [dict get $setting peers]]
    } else {
        set words [list endpoint/$name any [dict get $setting address]]
    }
    resp::ask [dict get $settings platform address] \
        [list HOST 1 {*}$words $state]
}

# Runs the operators' tool and returns what it prints. Fails as it fails.
proc ctl {args} {
    variable fleet::settings
    variable fleet::bin
    set host ""
    foreach name $fleet::hosts {
        if {[dict exists $fleet::pids $name]} {
            set host --host=[dict get $settings $name peers]
            break
        }
    }
    return [exec [file join $bin carobwindctl] \
        --platform=[dict get $settings platform address] {*}$host {*}$args 2>@1]
}

# Waits until every host takes a write of every database.
proc fleet::await_ready {{timeout_ms 15000}} {
    variable hosts
    variable databases
    variable settings
    set deadline [expr {[clock milliseconds] + $timeout_ms}]
    set kind [expr {[dict get $fleet::options -conf] eq "" ? "payment" : ""}]
    foreach host $hosts {
        foreach database $databases {
            set answer ""
            while {1} {
                catch {
                    resp::ask [dict get $settings $host address] \
                        [list STMT $database [write_kind] "put ready.$host 1"]
                } answer
                if {[lindex $answer 0] eq "done"} {
                    break
                }
                if {[clock milliseconds] > $deadline} {
                    error "$host does not serve $database: $answer"
                }
                after 50
            }
        }
    }
}

# A kind that writes, of the inventory in use.
proc fleet::write_kind {} {
    variable conf
    set file [open $conf]
    set text [read $file]
    close $file
    regexp {kind (\S+)\s+\{[^\}]*writes = true} $text -> kind
    return $kind
}

proc fleet::pid {name} {
    variable pids
    return [dict get $pids $name]
}

proc fleet::is_running {name} {
    variable pids
    variable started
    if {![dict exists $pids $name]} {
        return 0
    }
    set pid [dict get $pids $name]
    return [expr {[process_field $pid 0] ne "Z" &&
        [process_field $pid 19] eq [dict get $started $name]}]
}

# A field of a process's state line, counted from its state; a process that is
# gone is in state Z.
proc fleet::process_field {pid number} {
    if {[catch {open /proc/$pid/stat} file]} {
        return "Z"
    }
    set code [catch {read $file} text]
    close $file
    if {$code} {
        return "Z"
    }
    return [lindex [split [string range $text \
        [expr {[string last ")" $text] + 2}] end]] $number]
}

# Kills a process, so that nothing of it can be finished.
proc kill {name} {
    variable fleet::pids
    fleet::signal $name KILL
    dict unset pids $name
}

# Asks a process to stop and waits for its end. Returns the milliseconds.
proc stop {name {timeout_ms 20000}} {
    variable fleet::pids
    set begin [clock milliseconds]
    fleet::signal $name TERM
    while {[fleet::is_running $name]} {
        if {[clock milliseconds] - $begin > $timeout_ms} {
            error "$name does not stop"
        }
        after 10
    }
    dict unset pids $name
    return [expr {[clock milliseconds] - $begin}]
}

proc freeze {name} {
    fleet::signal $name STOP
}

proc thaw {name} {
    fleet::signal $name CONT
}

proc fleet::fault {name words} {
    variable settings
    set setting [dict get $settings $name]
    set id [expr {$name eq "platform" ? "1" : ""}]
    resp::ask [dict get $setting address] [list FAULT {*}$id {*}$words]
}

# Cuts the network between two groups of processes, both ways.
proc cut {group others} {
    foreach name $group {
        foreach other $others {
            catch {fleet::fault $name [list cut [fleet::ip $other] both]}
            catch {fleet::fault $other [list cut [fleet::ip $name] both]}
        }
    }
}

proc heal {} {
    foreach name [dict keys $fleet::pids] {
        catch {fleet::fault $name heal}
    }
}

# Makes the open connections between a process and others silent for good; new
# ones work.
proc silence {name {others ""}} {
    if {$others eq ""} {
        set others $fleet::hosts
    }
    foreach other $others {
        fleet::fault $name [list silence [fleet::ip $other]]
    }
}

# Sets a property of an endpoint: lag_ms, service_ms, slots or delay_ms.
proc set_endpoint {name property value} {
    resp::ask [dict get $fleet::settings $name address] \
        [list SET $property $value]
}

# Sets the platform's mode: up, down, slow MS, lose N or deafwatch.
proc platform {mode {number 0}} {
    resp::ask [dict get $fleet::settings platform address] \
        [list MODE 1 $mode $number]
}

# Sends one request through a host and returns its answer.
proc request {host words {timeout_ms 8000}} {
    resp::ask [dict get $fleet::settings $host address] $words $timeout_ms
}

# Starts the load generator in the background. Options: -hosts, -databases,
# -mix, -flood, -seconds, -warmup, -sessions, -from (its address).
proc work {name args} {
    variable fleet::works
    set options [dict merge [list -hosts $fleet::hosts \
        -databases $fleet::databases -seconds 5 -warmup 0 -sessions 40 \
        -mix "payment:write:60,balance:read:120" -flood "" -attempts 10 \
        -patience 4500 -from [lindex [split [fleet::address caller 1 1] :] 0] \
        ] $args]
    set addresses {}
    foreach host [dict get $options -hosts] {
        lappend addresses [dict get $fleet::settings $host address]
    }
    set base [file join $fleet::dir work-$name]
    set flood {}
    if {[dict get $options -flood] ne ""} {
        set flood [list --flood=[dict get $options -flood]]
    }
    set pid [exec [file join $fleet::bin carobwind-bench] \
        --entries=[join $addresses ,] \
        --databases=[join [dict get $options -databases] ,] \
        --mix=[dict get $options -mix] {*}$flood \
        --seconds=[dict get $options -seconds] \
        --warmup=[dict get $options -warmup] \
        --sessions=[dict get $options -sessions] \
        --attempts=[dict get $options -attempts] \
        --patience-ms=[dict get $options -patience] \
        --local-ip=[dict get $options -from] \
        --seed=$fleet::seed --label=$name --journal=$base.journal --plot=$base.svg \
        --json --quiet > $base.json 2> $base.err &]
    fleet::track work-$name $pid
    dict set works $name $base
}

# Waits for a load generator and returns its figures, a dictionary by kind.
proc work_result {name {timeout_ms 60000}} {
    variable fleet::works
    set deadline [expr {[clock milliseconds] + $timeout_ms}]
    while {[fleet::is_running work-$name]} {
        if {[clock milliseconds] > $deadline} {
            error "work $name does not end"
        }
        after 20
    }
    dict unset fleet::pids work-$name
    set file [open [dict get $works $name].json]
    set text [read $file]
    close $file
    if {$text eq ""} {
        error "work $name printed nothing: [exec cat [dict get $works $name].err]"
    }
    package require json
    return [json::json2dict $text]
}

# Fails the scenario when the expression is false.
proc expect {expression {what ""}} {
    if {![uplevel 1 [list expr $expression]]} {
        error "expected $expression [uplevel 1 [list subst $what]]"
    }
}

# Waits until the expression is true.
proc eventually {expression {timeout_ms 10000}} {
    set deadline [expr {[clock milliseconds] + $timeout_ms}]
    while {![uplevel 1 [list expr $expression]]} {
        if {[clock milliseconds] > $deadline} {
            error "within $timeout_ms ms expected $expression"
        }
        after 20
    }
}

# The endpoint's own report: term, primary, last_term, position.
proc endpoint_state {name} {
    set words [resp::ask [dict get $fleet::settings $name address] \
        {STATE 1 0 0}]
    return [dict create term [lindex $words 5] primary [lindex $words 6] \
        follows [lindex $words 7] last_term [lindex $words 8] \
        position [lindex $words 9]]
}

# The running endpoint of a database that is primary in the highest term.
proc primary_of {database} {
    set best ""
    set best_term 0
    foreach name $fleet::endpoints {
        if {![string match $database-* $name] ||
            [catch {endpoint_state $name} state]} {
            continue
        }
        if {[dict get $state primary] && [dict get $state term] > $best_term} {
            set best $name
            set best_term [dict get $state term]
        }
    }
    return $best
}

proc owner_of {database} {
    regexp -line {^owner\s+(\S+)} [ctl explain $database] -> owner
    return $owner
}

proc counter {host name} {
    variable fleet::bin
    set text [exec [file join $bin carobwindctl] \
        --host=[dict get $fleet::settings $host peers] counters]
    regexp -line "^carobwind_${name} (\\d+)" $text -> value
    return $value
}

# The sum of a counter over the running hosts.
proc counter_sum {name} {
    set sum 0
    foreach host $fleet::hosts {
        if {[fleet::is_running $host]} {
            incr sum [counter $host $name]
        }
    }
    return $sum
}

# Checks all journals against what the endpoints hold, after the replicas
# caught up. Fails with the list of violations.
proc check_history {} {
    variable fleet::works
    set logs [dict create]
    foreach database $fleet::databases {
        set primary ""
        eventually {[set primary [primary_of $database]] ne ""}
        dict set logs $database [lindex [resp::ask \
            [dict get $fleet::settings $primary address] DUMP 10000] 1]
    }
    set violations {}
    foreach {name base} $works {
        set file [open $base.journal]
        lappend violations {*}[checker::check [read $file] $logs]
        close $file
    }
    if {[llength $violations] > 0} {
        error "[llength $violations] violations:\
            [join [lrange $violations 0 4] {; }]"
    }
}

# The process is about to end by other means than a signal from here.
proc fleet::will_end {name} {
    variable ending
    dict set ending $name 1
}

# Fails the scenario when a process that it did not end is gone.
proc fleet::check_alive {} {
    variable pids
    variable ending
    foreach name [dict keys $pids] {
        if {![string match work-* $name] && ![dict exists $ending $name] &&
            ![is_running $name]} {
            error "$name has ended by itself:\
                [string range [read_log $name] end-300 end]"
        }
    }
}

# Ends all processes of the fleet, and returns when they have ended: a killed
# process runs on until the system gets to it.
proc fleet::finish {{timeout_ms 20000}} {
    variable pids
    dict for {name pid} $pids {
        if {[is_running $name]} {
            catch {exec kill -CONT $pid}
            catch {exec kill -9 $pid}
        }
    }
    set begin [clock milliseconds]
    foreach name [dict keys $pids] {
        while {[is_running $name]} {
            if {[clock milliseconds] - $begin > $timeout_ms} {
                error "$name was killed and has not ended"
            }
            after 5
        }
    }
    set pids [dict create]
}
