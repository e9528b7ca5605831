# Statements, session data and results near the limits of the protocols: each is
# served through every host, or refused at the first statement that exceeds a
# limit, and none affects another caller.

namespace eval wire_limits {
    variable message_max 1048576 ;# bytes of a message with its line end
}

# Runs a statement through each host on a fresh session, after `setup`. Returns
# a list of the host, the outcome and the number of rows for each.
proc wire_limits::through_each {setup text} {
    set answers {}
    foreach host {host1 host2 host3} {
        set channel [wire::connect $host pay]
        foreach statement $setup {
            lappend answers [list $host {*}[lrange [wire::query $channel $statement] 0 0]]
        }
        set answer [wire::query $channel $text]
        lappend answers [list $host [lindex $answer 0] [llength [lindex $answer 1]]]
        close $channel
    }
    return $answers
}

# Checks that no host considers another one lost: that a plain write through each
# is done, and that no call between hosts was repeated.
proc wire_limits::check_fleet {} {
    foreach answer [through_each {} "WRITE plain v"] {
        expect {[lindex $answer 1] eq "done"} $answer
    }
    foreach host {host1 host2 host3} {
        set metrics [wire::http_get $host 7201 /metrics]
        expect {![regexp {forward_retries_total [1-9]} $metrics]} \
            "$host repeated a call"
    }
}

# Returns a shape of `size` bytes.
proc wire_limits::shape {size} {
    return [string repeat q $size]
}

scenario limits-prepared-shape \
    "a prepared statement whose shape is long is executed wherever its owner is" {
    wire::fleet
    foreach size {4000 5000 100000 1048536} {
        set answers [wire_limits::through_each \
            [list "PREPARE s1 WRITE [wire_limits::shape $size]"] "EXECUTE s1 k1 v1"]
        foreach answer $answers {
            expect {[lindex $answer 1] eq "done"} "$size bytes: $answers"
        }
    }
    wire_limits::check_fleet
}

scenario limits-large-execute \
    "a long shape with long arguments and many session values is executed" {
    wire::fleet
    set answers [wire_limits::through_each \
        [list "SET a [string repeat v 262000]" \
            "PREPARE s1 WRITE [wire_limits::shape 1048536]"] \
        "EXECUTE s1 k1 [string repeat w 1048530]"]
    foreach answer $answers {
        expect {[lindex $answer 1] eq "done"} $answers
    }
    wire_limits::check_fleet
}

scenario limits-session-values \
    "session values that are kept are forwarded, others are refused by SET" {
    wire::fleet
    set answers [wire_limits::through_each \
        [list "SET a [string repeat v 262138]"] "WRITE k1 v1"]
    foreach answer $answers {
        expect {[lindex $answer 1] eq "done"} $answers
    }
    foreach host {host1 host2 host3} {
        set channel [wire::connect $host pay]
        expect {[wire::query $channel "SET a [string repeat v 262144]"] eq {MALFORMED {} I}}
        close $channel
    }
    wire_limits::check_fleet
}

scenario limits-large-results \
    "an answer with rows of more than a message in all is delivered by every host" {
    wire::fleet
    set channel [wire::connect host1 pay]
    expect {[lindex [wire::query $channel "WRITE large [string repeat x 900000]"] 0] eq "done"}
    close $channel
    foreach rows {1 2 4} {
        wire::control rows $rows
        set answers [wire_limits::through_each {} "READ large"]
        foreach answer $answers {
            expect {[lrange $answer 1 2] eq [list done $rows]} $answers
        }
    }
    # More than Cbw_RESULT_MAX is refused with this reason, not as a lost answer.
    wire::control rows 12
    foreach answer [wire_limits::through_each {} "READ large"] {
        expect {[lrange $answer 1 2] eq "FAILED 0"} $answer
    }
    wire::control rows 1
    wire_limits::check_fleet
}
