# RESP requests from Tcl: arrays of bulk strings.

namespace eval resp {}

# Sends one request on a connection of its own and returns the answer's words.
# Fails when there is no answer within the time.
proc resp::ask {address words {timeout_ms 3000}} {
    set channel [resp::open $address]
    try {
        resp::send $channel $words
        return [resp::receive $channel $timeout_ms]
    } finally {
        close $channel
    }
}

proc resp::open {address {local ""}} {
    lassign [split $address :] ip port
    if {$local ne ""} {
        set channel [socket -myaddr $local $ip $port]
    } else {
        set channel [socket $ip $port]
    }
    fconfigure $channel -translation binary -buffering full -blocking 0
    return $channel
}

proc resp::send {channel words} {
    set message "*[llength $words]\r\n"
    foreach word $words {
        set bytes [encoding convertto utf-8 $word]
        append message "\$[string length $bytes]\r\n$bytes\r\n"
    }
    puts -nonewline $channel $message
    flush $channel
}

# Reads until `count` bytes, or a line when count is 0.
proc resp::read_part {channel count deadline} {
    set data ""
    while {1} {
        if {$count > 0} {
            append data [read $channel [expr {$count - [string length $data]}]]
            if {[string length $data] == $count} {
                return $data
            }
        } elseif {[gets $channel line] >= 0} {
            return [string trimright $line "\r"]
        }
        if {[eof $channel]} {
            error "connection closed"
        }
        if {[clock milliseconds] > $deadline} {
            error "no answer in time"
        }
        after 1
    }
}

proc resp::receive {channel {timeout_ms 3000}} {
    set deadline [expr {[clock milliseconds] + $timeout_ms}]
    set head [resp::read_part $channel 0 $deadline]
    if {[string index $head 0] eq "-"} {
        error "refused: [string range $head 1 end]"
    }
    if {[string index $head 0] ne "*"} {
        error "not an array: $head"
    }
    set words {}
    for {set i 0} {$i < [string range $head 1 end]} {incr i} {
        set size [string range [resp::read_part $channel 0 $deadline] 1 end]
        set bytes [resp::read_part $channel [expr {$size + 2}] $deadline]
        lappend words [encoding convertfrom utf-8 \
            [string range $bytes 0 end-2]]
    }
    return $words
}
