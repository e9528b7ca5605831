# Misbehaving clients on a real daemon with lowered limits. Each scenario opens a
# crowd of connections and checks, while the crowd is still connected, that the
# daemon lives, that its peak memory and its open descriptors stay within its own
# settings, and that one ordinary request is answered on a new connection. No
# scenario checks times or how many requests of the crowd are served. They run one
# at a time (check.tcl): other load would change which part of a crowd the daemon
# has read when it is measured.

namespace eval clients {
    # The settings of the daemon, which are also the bounds of the checks.
    variable memory_mb 64
    variable descriptors 400
    variable peak_descriptors 0
    variable last_answer "" ;# to the ordinary request
    variable limit 1048576 ;# largest message in bytes, with its line end
}

# Starts one host for callers of the platform's wire protocol.
proc clients::start_wire {} {
    variable memory_mb
    variable descriptors
    set wire::daemon_flags [list --memory-limit=$memory_mb \
        --descriptor-limit=$descriptors]
    wire::fleet 1
    expect {[clients::is_served_wire]}
}

# Starts one host for callers of RESP.
proc clients::start_resp {} {
    variable memory_mb
    variable descriptors
    fleet -hosts 1 -daemon [list --memory-limit=$memory_mb \
        --descriptor-limit=$descriptors]
    expect {[clients::is_served_resp]}
}

# Returns the value in kB of a line of /proc/PID/status of a host.
proc clients::status_kb {name {host host1}} {
    set file [::open /proc/[fleet::pid $host]/status]
    set text [read $file]
    close $file
    regexp -line "^$name:\\s+(\\d+) kB" $text -> value
    return $value
}

proc clients::count_descriptors {} {
    variable peak_descriptors
    set count [llength [glob -nocomplain -directory \
        /proc/[fleet::pid host1]/fd *]]
    set peak_descriptors [expr {max($peak_descriptors, $count)}]
    return $count
}

# Runs the event loop for a time.
proc clients::run {ms} {
    set ::clients::timer_ended 0
    after $ms {set ::clients::timer_ended 1}
    while {!$::clients::timer_ended} {
        vwait ::clients::timer_ended
    }
}

# Opens `count` connections to a port of the host and returns their channels. The
# connections are established in the background: the host may accept them late or
# never.
proc clients::open {port count} {
    set channels {}
    for {set i 0} {$i < $count} {incr i} {
        set channel [socket -async [fleet::ip host1] $port]
        fconfigure $channel -blocking 0 -translation binary -buffering full \
            -buffersize 65536
        lappend channels $channel
        if {$i % 50 == 49} {
            run 5
        }
    }
    return $channels
}

# Writes bytes to each channel that is still open; the rest is sent in the
# background. The answers stay unread.
proc clients::send {channels bytes} {
    foreach channel $channels {
        catch {
            puts -nonewline $channel $bytes
            flush $channel
        }
    }
}

# Returns the number of bytes that the host has not taken yet.
proc clients::unsent {channels} {
    set sum 0
    foreach channel $channels {
        catch {incr sum [chan pending output $channel]}
    }
    return $sum
}

# Waits until the host has taken all bytes, or has taken none for two seconds.
proc clients::settle {channels} {
    set left -1
    set quiet 0
    while {$quiet < 20} {
        set now [unsent $channels]
        count_descriptors
        set quiet [expr {$now == $left || $now == 0 ? $quiet + 1 : 0}]
        set left $now
        run 100
    }
}

# Reads what has arrived on a channel.
proc clients::read_available {channel} {
    if {[catch {read $channel} text]} {
        return ""
    }
    return $text
}

# Reads from a channel until a pattern matches or the connection ends. Returns the
# text; its end is "closed" if the connection ended first.
proc clients::read_until {channel pattern} {
    set text ""
    set deadline [expr {[clock milliseconds] + 10000}]
    while {![regexp $pattern $text] && [clock milliseconds] < $deadline} {
        append text [read_available $channel]
        if {[catch {eof $channel} ended] || $ended} {
            return [append text closed]
        }
        run 10
    }
    return $text
}

# Returns whether a write on a new session succeeds. Tries again while the host is
# busy, as callers do.
proc clients::is_served_wire {} {
    for {set try 0} {$try < 20} {incr try} {
        set channel [open 7000 1]
        send $channel "STARTUP pay tester\r\n"
        set text [read_until $channel {READY [^\n]*\n}]
        if {[string match "READY I*" $text]} {
            send $channel "QUERY ordinary$try WRITE ordinary x\r\n"
            set text [read_until $channel {READY [^\n]*\n}]
        }
        set ::clients::last_answer [string range $text 0 200]
        catch {close $channel}
        if {[string match "COMPLETE*" $text]} {
            return 1
        }
        run 200
    }
    return 0
}

proc clients::is_served_resp {} {
    for {set try 0} {$try < 20} {incr try} {
        set channel [open 7000 1]
        send $channel "*4\r\n\$4\r\nSTMT\r\n\$3\r\ndb1\r\n\$7\r\npayment\r\n\$7\r\nput a 1\r\n"
        set text [read_until $channel {done|notrun|unknown|ERR}]
        set ::clients::last_answer [string range $text 0 200]
        catch {close $channel}
        if {[string match "*done*" $text]} {
            return 1
        }
        run 200
    }
    return 0
}

# Checks the process against its settings, then that a caller is served.
proc clients::check {protocol} {
    variable memory_mb
    variable descriptors
    variable peak_descriptors
    expect {[fleet::is_running host1]} [fleet::read_log host1]
    count_descriptors
    set served [is_served_$protocol]
    expect {[fleet::is_running host1]} [fleet::read_log host1]
    set peak [status_kb VmHWM]
    puts "  peak memory $peak kB of [expr {$memory_mb * 1024}],\
        now [status_kb VmRSS] kB, descriptors $peak_descriptors of\
        $descriptors, ordinary request [expr {$served ? "" : "not "}]served"
    expect {$peak <= $memory_mb * 1024} "peak memory $peak kB"
    expect {$peak_descriptors <= $descriptors} \
        "$peak_descriptors descriptors"
    expect {$served} "no ordinary request is served:\
        $::clients::last_answer"
}

# A statement of `size` bytes with its line end, whose argument fills it up.
proc clients::statement {id size} {
    set head "QUERY $id READ k"
    return "$head[string repeat x [expr {$size - [string length $head] - 2}]]\r\n"
}

# Opens sessions on the wire protocol without waiting for their confirmation.
proc clients::start_sessions {count} {
    set channels [open 7000 $count]
    send $channels "STARTUP pay crowd\r\n"
    settle $channels
    return $channels
}

# Messages of legal size.

scenario client-single-large \
    "a message of the largest legal size is served under the lowered limits" {
    clients::start_wire
    set channel [clients::start_sessions 1]
    expect {[string match "READY I*" [clients::read_until $channel {READY [^\n]*\n}]]}
    clients::send $channel [clients::statement single $clients::limit]
    set text [clients::read_until $channel {READY [^\n]*\n}]
    expect {[string match "*COMPLETE*" $text]} [string range $text 0 100]
    clients::check wire
}

scenario client-large-at-once \
    "150 callers send a message of legal size at once, each in one piece" {
    clients::start_wire
    set channels [clients::start_sessions 150]
    clients::send $channels [clients::statement large $clients::limit]
    clients::settle $channels
    clients::check wire
}

scenario client-large-in-pieces \
    "150 callers send a message of legal size in pieces and stop before its end" {
    clients::start_wire
    set channels [clients::start_sessions 150]
    set message [clients::statement pieces $clients::limit]
    for {set at 0} {$at < $clients::limit - 8192} {incr at 8192} {
        clients::send $channels [string range $message $at $at+8191]
        clients::run 5
    }
    clients::settle $channels
    clients::check wire
}

scenario client-session-values \
    "sessions collect values and prepared statements of legal size" {
    clients::start_wire
    set channels [clients::start_sessions 4]
    set text [string repeat x [expr {$clients::limit - 100}]]
    for {set i 0} {$i < 20} {incr i} {
        clients::send $channels "QUERY v$i SET v$i $text\r\n"
        clients::send $channels "QUERY p$i PREPARE p$i READ $text\r\n"
        clients::run 50
    }
    clients::settle $channels
    clients::check wire
}

# Messages over the limit.

scenario client-too-large \
    "a message over the limit gets ERROR TOOLARGE, then a close" {
    clients::start_wire
    set channel [clients::start_sessions 1]
    clients::send $channel [clients::statement large [expr {$clients::limit + 1}]]
    set text [clients::read_until $channel {TOOLARGE.*closed}]
    expect {[regexp {ERROR TOOLARGE \S.*closed$} $text]} [string range $text 0 200]
    clients::check wire
}

scenario client-line-without-end \
    "120 callers send lines that never end, before and after their STARTUP" {
    clients::start_wire
    set channels [concat [clients::start_sessions 60] [clients::open 7000 60]]
    set piece [string repeat x 65536]
    for {set i 0} {$i < 64} {incr i} {
        clients::send $channels $piece
        clients::run 5
    }
    clients::settle $channels
    clients::check wire
}

scenario client-bytes \
    "callers send a NUL, empty lines and words without end" {
    clients::start_wire
    set channels [concat [clients::start_sessions 20] [clients::open 7000 20]]
    set nested [string repeat "(\[\{" 20000]
    foreach bytes [list "\0\0\0\r\n" "\r\n\r\n\n\n" "QUERY\r\nQUERY  \r\n" \
            "STARTUP $nested $nested\r\n" "QUERY n READ $nested\r\n" \
            "[string repeat { } 60000]\r\n" \
            "QUERY \0 READ \0\r\n"] {
        clients::send $channels $bytes
        clients::settle $channels
    }
    clients::check wire
}

# Messages sent ahead, with the answers unread.

scenario client-pipelined-statements \
    "20 callers send 4,000 statements of 1 KB each ahead and read no answer" {
    clients::start_wire
    set channels [clients::start_sessions 20]
    set many [string repeat [clients::statement ahead 1024] 500]
    for {set i 0} {$i < 8} {incr i} {
        clients::send $channels $many
        clients::run 20
    }
    clients::settle $channels
    clients::check wire
}

scenario client-answers-unread \
    "10 callers send 800,000 small statements each and read no answer" {
    clients::start_wire
    set channels [clients::start_sessions 10]
    set many [string repeat "QUERY a SET b c\r\n" 50000]
    for {set i 0} {$i < 16} {incr i} {
        clients::send $channels $many
        clients::run 20
    }
    clients::settle $channels
    clients::check wire
}

# Slow clients and clients that stop half-way.

scenario client-slow \
    "500 callers send and read a byte now and then" {
    clients::start_wire
    set channels [concat [clients::start_sessions 250] [clients::open 7000 250]]
    set message "STARTUP pay crowd\r\n"
    foreach byte [split $message ""] {
        clients::send $channels $byte
        foreach channel $channels {
            catch {read $channel 1}
        }
        clients::run 50
        clients::count_descriptors
    }
    clients::check wire
}

scenario client-half-way \
    "500 callers stop in STARTUP, in a message or in a transaction" {
    clients::start_wire
    set half [clients::open 7000 170]
    clients::send $half "STARTUP pay"
    set message [clients::start_sessions 170]
    clients::send $message "QUERY half WRITE half-w"
    set transaction [clients::start_sessions 160]
    clients::send $transaction "QUERY b BEGIN\r\nQUERY r READ k\r\n"
    clients::settle [concat $half $message $transaction]
    clients::check wire
}

# Descriptors.

scenario client-descriptors-silent \
    "600 callers connect and send nothing" {
    clients::start_wire
    set channels [clients::open 7000 600]
    clients::settle $channels
    clients::check wire
}

scenario client-descriptors-sessions \
    "600 callers start a session and send nothing more" {
    clients::start_wire
    set channels [clients::start_sessions 600]
    clients::settle $channels
    clients::check wire
}

scenario client-descriptors-transactions \
    "600 callers begin a transaction and send nothing more" {
    clients::start_wire
    set channels [clients::start_sessions 600]
    clients::send $channels "QUERY b BEGIN\r\n"
    clients::settle $channels
    clients::check wire
}

scenario client-storm \
    "connections are opened and closed 6,000 times, some with a reset" {
    clients::start_wire
    for {set i 0} {$i < 30} {incr i} {
        set channels [clients::open 7000 200]
        clients::send $channels "STARTUP pay crowd\r\nQUERY s READ k\r\n"
        clients::run 20
        clients::count_descriptors
        # A channel with unread answers is closed with a reset.
        foreach channel $channels {
            catch {close $channel}
        }
    }
    clients::check wire
}

# Callers of RESP.

scenario client-resp-large \
    "80 callers of RESP send words of the largest size and stop in the last one" {
    clients::start_resp
    set channels [clients::open 7000 80]
    clients::send $channels "*24\r\n"
    set word "\$65536\r\n[string repeat x 65536]\r\n"
    for {set i 0} {$i < 23} {incr i} {
        clients::send $channels $word
        clients::run 20
    }
    clients::send $channels [string range $word 0 60000]
    clients::settle $channels
    clients::check resp
}

scenario client-resp-over-limit \
    "callers of RESP send lengths, nesting and lines without end" {
    clients::start_resp
    set piece [string repeat x 65536]
    foreach head [list "*1\r\n\$2000000000\r\n" "*2147483647\r\n" \
            "*1\r\n\$99999999999999999999\r\n" [string repeat "*1\r\n" 20000] \
            "*" "\$" "\0\0" "+"] {
        set channels [clients::open 7000 10]
        clients::send $channels $head
        for {set i 0} {$i < 16} {incr i} {
            clients::send $channels $piece
            clients::run 5
        }
        clients::settle $channels
    }
    clients::check resp
}

scenario client-resp-unread \
    "20 callers of RESP send 800,000 requests each and read no answer" {
    clients::start_resp
    set channels [clients::open 7000 20]
    set many [string repeat "*1\r\n\$4\r\nPING\r\n" 50000]
    for {set i 0} {$i < 16} {incr i} {
        clients::send $channels $many
        clients::run 20
    }
    clients::settle $channels
    clients::check resp
}

scenario client-resp-descriptors \
    "600 callers of RESP connect; half of them begin a transaction" {
    clients::start_resp
    set silent [clients::open 7000 300]
    set open [clients::open 7000 300]
    clients::send $open "*3\r\n\$5\r\nBEGIN\r\n\$3\r\ndb1\r\n\$7\r\npayment\r\n"
    clients::settle [concat $silent $open]
    clients::check resp
}

# The peers' port, without authorization.

# A call of a procedure without arguments as a record: xid, CALL, RPC version,
# program, version, procedure, and empty credentials and verifier.
proc clients::peer_call {procedure} {
    set body [binary format IIIIIIIIII 7 0 2 0x20ca0b01 1 $procedure 0 0 0 0]
    return [binary format I [expr {0x80000000 | [string length $body]}]]$body
}

scenario client-peer-records \
    "25 connections to the peers' port stop in a record of 8 MiB" {
    clients::start_wire
    set channels [clients::open 7100 25]
    clients::send $channels [binary format I 0x807fffff]
    set piece [string repeat x 262144]
    for {set i 0} {$i < 24} {incr i} {
        clients::send $channels $piece
        clients::run 20
    }
    clients::settle $channels
    clients::check wire
}

scenario client-peer-unread \
    "10 connections to the peers' port send 40,000 calls each and read no reply" {
    clients::start_wire
    set channels [clients::open 7100 10]
    # COUNTERS, answered at once, and MEMBERS, answered by another task.
    set many [string repeat [clients::peer_call 9][clients::peer_call 5] 5000]
    for {set i 0} {$i < 4} {incr i} {
        clients::send $channels $many
        clients::run 20
    }
    clients::settle $channels
    clients::check wire
}

scenario client-peer-descriptors \
    "600 connections to the peers' port, silent or in a record mark" {
    clients::start_wire
    set channels [clients::open 7100 300]
    set half [clients::open 7100 300]
    clients::send $half "\x80"
    clients::settle [concat $channels $half]
    clients::check wire
}

# The readiness port.

scenario client-readiness-unread \
    "10 connections to the readiness port send 400,000 requests each, unread" {
    clients::start_wire
    set channels [clients::open 7200 10]
    set many [string repeat "GET /x HTTP/1.1\r\n\r\n" 50000]
    for {set i 0} {$i < 8} {incr i} {
        clients::send $channels $many
        clients::run 20
    }
    clients::settle $channels
    expect {[wire::is_ready host1]}
    clients::check wire
}

scenario client-readiness-descriptors \
    "600 connections to the readiness port stop in a header" {
    clients::start_wire
    set channels [clients::open 7200 600]
    clients::send $channels "GET /carobwind/ready HTTP/1.1\r\nHost: [string repeat x 4000]"
    clients::settle $channels
    expect {[wire::is_ready host1]}
    clients::check wire
}
