# A RESP client: sends requests and reads answers as arrays of bulk strings.

namespace eval resp {}

# Sends a request on a new connection and returns the words of the answer.
# Fails if no answer arrives within the timeout.
proc resp::call {address words {timeout_ms 3000}} {
    set channel [resp::open $address]
    try {
        resp::send $channel $words
        return [resp::receive $channel $timeout_ms]
    } finally {
        close $channel
    }
}

# Connects to ADDRESS, optionally from a local address. Returns the channel.
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

# Reads `count` bytes, or a line if `count` is 0.
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
            error "no answer within the timeout"
        }
        after 1
    }
}

# Reads one answer and returns its words. Fails if it is an error.
proc resp::receive {channel {timeout_ms 3000}} {
    set deadline [expr {[clock milliseconds] + $timeout_ms}]
    set header [resp::read_part $channel 0 $deadline]
    if {[string index $header 0] eq "-"} {
        error "error answer: [string range $header 1 end]"
    }
    if {[string index $header 0] ne "*"} {
        error "not an array: $header"
    }
    set words {}
    for {set i 0} {$i < [string range $header 1 end]} {incr i} {
        set size [string range [resp::read_part $channel 0 $deadline] 1 end]
        set bytes [resp::read_part $channel [expr {$size + 2}] $deadline]
        lappend words [encoding convertfrom utf-8 \
            [string range $bytes 0 end-2]]
    }
    return $words
}
