# Mutation tests: disables one mechanism at a time and runs the scenario that
# must then fail: tclsh test/mutants.tcl ?NAME...?. Each mutant is a copy of the
# source with a few lines changed, built in its own directory.

set root [file dirname [file dirname [file normalize [info script]]]]
set mutants [dict create]

# Defines a mutant: the scenario that must fail, and a flat list of edits: file,
# text, replacement, file, text, replacement, ...
proc mutant {name scenario edits} {
    dict set ::mutants $name [dict create scenario $scenario edits $edits]
}

mutant no-token-check read-your-writes {
    src/libcarobwind/route.c
    "CbwGroup_CheckToken(state, token) == CBW_TOKEN_BEHIND"
    "token->term == UINT64_MAX"
    src/libcarobwind/owner_reply.c
    "check == CBW_TOKEN_SATISFIED" "check != CBW_TOKEN_LOST"
}
mutant no-age-proof cut-off-reads {
    src/libcarobwind/group.c
    "return as_of == 0 ? Cbw_NEVER : now - as_of;" "return as_of * 0;"
    src/libcarobwind/owner_reply.c
    "if (from_primary && request->age != Cbw_NEVER" "if (false"
}
mutant no-confirmation primary-cut-off {
    src/libcarobwind/confirm.c
    "if (level == CBW_CONFIRM_NONE)" "if (level <= CBW_CONFIRM_POSITION)"
}
mutant unpinned-transactions transactions-apart {
    src/carobwindd/endpoint_resp.c
    "            connection->transaction == 0 &&\n            CbwList_IsEmpty(&connection->calls) &&\n            (best"
    "            CbwList_IsEmpty(&connection->calls) &&\n            (best"
}
mutant answers-by-order answers-out-of-order {
    src/carobwindd/peer_task.c
    "if (call->xid == xid)" "if (xid != 0)"
}
mutant no-tombstone statement-outlives-deadline {
    src/libcarobwind/owner_dispatch.c
    "    request->state = CBW_REQUEST_SETTLING;\n"
    "    CbwOwner_Answer_(owner, now, request, CBW_OUTCOME_NOTRUN, \"\");\n    return;\n    request->state = CBW_REQUEST_SETTLING;\n"
}
mutant no-request-key same-payment-twice {
    src/carobwindd/endpoint_resp.c
    "words\[4\] = call->key;" "words\[4\] = \"\";"
}
mutant ignores-leaving replica-leaves-by-inventory {
    src/libcarobwind/owner.c
    "owner->group.endpoints\[endpoint\].leaving = leaving;" "(void)leaving;"
}
mutant no-hand-over primary-leaves-by-list {
    src/libcarobwind/owner_health.c
    "if (primary < 0 || !owner->group.endpoints\[primary\].leaving)"
    "if (primary < 0 || now > 0)"
}
mutant stops-at-once stop-answers-what-it-has {
    src/carobwindd/main.c
    "#define DRAIN_TIME_MIN (1200 * Cbw_MSEC)" "#define DRAIN_TIME_MIN (0 - Cbw_SEC)"
    src/carobwindd/main.c
    "now - self.last_busy_at > DRAIN_IDLE_TIME" "now > 0"
}
mutant takes-any-version old-configuration-returns {
    src/carobwindd/member_task.c
    "if (peer_revision <= self.config_version && " "if (peer_revision == self.config_version && "
    src/carobwindd/config_task.c
    "if (version <= current_version() ||" "if (version == current_version() ||"
    src/carobwindd/config_task.c
    "message->peer_revision > current_version()" "message->peer_revision != current_version()"
    src/carobwindd/config_task.c
    "result->text_version > current_version()" "result->text_version != 0"
}
mutant owner-stays-behind wire-regions-primary-leaves {
    src/libcarobwind/handover.c
    "return !handover->owned && holds" "return handover->owned && !handover->owned && holds"
}
mutant no-samples wire-regions-reads {
    src/libcarobwind/read_dispatch.c
    "return !dispatch->asking && dispatch->last" "return dispatch->asking && dispatch->last"
}
mutant blind-apply operators-race {
    src/carobwindctl/main.c
    "base_version >= 0 && version" "base_version >= 999999 && version"
    src/carobwind-platform/store.c
    ") != expected_version)"
    ") != expected_version && expected_version == 999999)"
}
mutant no-attempt-timeout silent-to-endpoint {
    include/carobwind/owner.h
    "#define Cbw_OWNER_ATTEMPT_TIMEOUT (400 * Cbw_MSEC)"
    "#define Cbw_OWNER_ATTEMPT_TIMEOUT (400 * Cbw_SEC)"
}
mutant no-silence-probe silent-between-daemons {
    include/carobwind/liveness.h
    "#define Cbw_LIVENESS_RETIRE_AFTER (300 * Cbw_MSEC)"
    "#define Cbw_LIVENESS_RETIRE_AFTER (300 * Cbw_SEC)"
}
mutant no-swap-settling swap-answer-lost {
    src/libcarobwind/promotion.c
    "        enter_state(promotion, now, CBW_PROMOTION_SETTLING);\n        ops->read_record(context);\n        break;\n    case CBW_STORE_MISSING:"
    "        break;\n    case CBW_STORE_MISSING:"
    src/libcarobwind/promotion.c
    "    case CBW_PROMOTION_SWAPPING:\n    case CBW_PROMOTION_SETTLING:\n        enter_state(promotion, now, CBW_PROMOTION_SETTLING);\n        ops->read_record(context);\n        break;"
    "    case CBW_PROMOTION_SWAPPING:\n    case CBW_PROMOTION_SETTLING:\n        break;"
}

# Mutants for the scenarios on the platform's protocols.
mutant trusts-old-terms wire-primary-returns {
    src/libcarobwind/pool_promotion.c
    "return e->reported_term > pool->superseded_term ||" "return true ||"
    src/libcarobwind/pool_health.c
    "else if (e->reported_term < pool->highest_term &&" "else if (e->reported_term < 1 &&"
    src/libcarobwind/pool_reply.c
    "if (term != 0 && term < pool->highest_term)" "if (term == UINT64_MAX)"
}
mutant no-endpoints-word wire-store-long-away {
    src/libcarobwind/pool_confirm.c
    "return !pool->stopping && !pool->synchronous" "return pool->primary < -1"
}
mutant no-polls wire-deaf-watch {
    src/carobwindd/registry_task.c
    "self.poll_pending || now < self.next_poll_at ||" "now > 0 ||"
}
mutant resends-lost-writes wire-answers-lost {
    src/libcarobwind/pool_reply.c
    "if (request->writes) {\n        CbwPool_Answer_(pool, request, CBW_OUTCOME_UNKNOWN, cause,\n                        \"the write was sent, and its answer is lost\");\n        return;\n    }"
    ""
}
mutant short-tenure wire-store-away {
    src/libcarobwind/tenure.c
    "tenure->call_sent_at + Cbw_TENURE_VALID_FOR" "tenure->call_sent_at + Cbw_TENURE_RETRY_INTERVAL"
    src/libcarobwind/pool_confirm.c
    "return !pool->stopping && !pool->synchronous" "return pool->primary < -1"
}

mutant drops-silent-peers wire-owner-pauses {
    src/carobwindd/peer_task.c
    "if (!call->patient)" "if (call->timeout > 0)"
}
mutant takes-odd-names wire-odd-name-first {
    platform/registry.c
    "if (byte <= ' ' || byte == 0x7f)" "if (byte == 0x7f)"
}
mutant answers-for-any-nonce wire-name-twice {
    src/libcarobwind/nonce.c
    "nonce >> 32 == own >> 32" "(nonce | own) != 0"
}
mutant forgets-orders wire-owner-killed-promoting {
    src/libcarobwind/nonce.c
    "orders_until + Cbw_POOL_ORDER_LEASE" "orders_until"
}
mutant releases-while-promoting wire-owner-stops-promoting {
    src/carobwindd/pool_task.c
    "needed = needed || has_promotion_to_end(instance, now) ||"
    "needed = needed || (has_promotion_to_end(instance, now) && now == 0) ||"
    src/libcarobwind/pool.c
    "if (CbwPool_IsPromoting(pool, now) || CbwPool_AwaitLeases_(pool, now)) {\n        return false;\n    }\n    CbwTenure_Release"
    "if (pool->stopping || CbwPool_AwaitLeases_(pool, now)) {\n        return false;\n    }\n    CbwTenure_Release"
}
mutant exits-while-promoting wire-owner-stops-promoting-slowly {
    src/carobwindd/pool_task.c
    "!CbwPool_IsIdle(&instance->pool) || promoting ||"
    "!CbwPool_IsIdle(&instance->pool) || (promoting && now == 0) ||"
}
mutant drains-without-tenure wire-owner-stops-promoting-store-away {
    src/carobwindd/pool_task.c
    "instance->pool.phase >= CBW_POOL_CLAIMING" "instance->pool.phase < CBW_POOL_SERVING"
}
mutant starts-from-store wire-restart-stale {
    src/libcarobwind/bootstrap.c
    "return bootstrap->read ||" "return waited >= 0 ||"
}
mutant no-cancellation wire-caller-leaves {
    src/carobwindd/cancel.c
    "if (job->request.id == 0)" "if (job->request.id != 0)"
}
mutant keeps-revoked-keys wire-workspaces {
    src/libcarobwind/access.c
    "if (inventory->workspace_count == 0)"
    "if (inventory->workspace_count < Cbw_WORKSPACES_MAX)"
}
mutant shares-connections wire-workspaces {
    platform/backend.c
    "        workspace\[0\] != '\\\\0' ? workspace : STARTUP_USER, endpoint_link->name);"
    "        workspace != NULL ? STARTUP_USER : workspace, endpoint_link->name);"
}
mutant no-quota wire-quota {
    src/libcarobwind/pool_quota.c
    "if (pool->quota == NULL || request->workspace\[0\] == '\\\\0' ||"
    "if (pool->quota == NULL || request->workspace\[0\] != '\\\\0' ||"
}

# Mutants for the texts of statements and results.
mutant ends-at-line-feed wire-commit-unchanged {
    platform/wire.c
    "if (feed > bytes && feed\[-1\] == '\\\\r')" "if (feed > bytes)"
    platform/wire.c
    "bytes\[size - LINE_END_SIZE\] = '\\\\0';"
    "bytes\[size - 1 - (bytes\[size - 2\] == '\\\\r')\] = '\\\\0';"
}
mutant cuts-blanks wire-texts-unchanged {
    platform/backend_text.c
    "                        (gssize)call->statement_size);\n"
    "                        (gssize)call->statement_size);\n    while (statement->str\[statement->len - 1\] == ' ') {\n        g_string_truncate(statement, statement->len - 1);\n    }\n"
}
mutant takes-line-feeds wire-shapes-and-values-unchanged {
    platform/callers.c
    "if (form == NULL || has_line_feed)"
    "if (form == NULL || (has_line_feed && *text == '\\\\0'))"
}
mutant shares-names wire-shapes-and-values-unchanged {
    platform/backend_text.c
    "added.number = ++session->last_number;" "added.number = 1;"
}
mutant carries-anything wire-resp-callers {
    platform/backend.c
    ".can_carry = Backend_CanCarry," ".can_carry = NULL,"
}
mutant small-shapes limits-prepared-shape {
    src/share/peer_rpc.h
    "#define PEER_SHAPE_MAX 1048576" "#define PEER_SHAPE_MAX 4096"
}
mutant passes-any-result limits-large-results {
    platform/backend_connection.c
    "connection->result->len + size > Cbw_RESULT_MAX" "connection->result->len > SIZE_MAX - size"
}
mutant forgets-terms wire-older-branch {
    src/libcarobwind/term_history.c
    "    history->starts\[history->count++\] = start;"
    "    history->count = 1;\n    history->starts\[0\] = start;"
}
mutant promotes-discarded-logs wire-discarded-log-alone {
    src/libcarobwind/pool_promotion.c
    "CbwPool_HasDiscardedEntries_(pool, e->reported_position);\n}"
    "now - pool->promotion_since < 0;\n}"
}

# Replaces a text in a file. Fails if the file does not contain it.
proc edit {path from to} {
    set file [open $path]
    set text [read $file]
    close $file
    set from [subst -nocommands -novariables $from]
    set to [subst -nocommands -novariables $to]
    if {[string first $from $text] < 0} {
        error "$path does not contain: $from"
    }
    set file [open $path w]
    puts -nonewline $file [string map [list $from $to] $text]
    close $file
}

# Builds a mutant. Returns the directory of its programs.
proc build {name} {
    set dir [file join $::root build-mutants $name]
    file delete -force $dir
    file mkdir $dir
    foreach part {src include platform Makefile} {
        file copy [file join $::root $part] [file join $dir $part]
    }
    foreach {path from to} [dict get $::mutants $name edits] {
        edit [file join $dir $path] $from $to
    }
    exec make -C $dir -j4 all >& [file join $dir build.log]
    return [file join $dir build bin]
}

# Runs a mutant. Returns whether it was found: whether its scenario failed.
proc run_mutant {name block} {
    set ::env(CAROBWIND_BIN) [build $name]
    set scenario [dict get $::mutants $name scenario]
    catch {exec tclsh [file join $::root test scenarios.tcl] -block $block \
        $scenario 2>@1} output
    set last [lindex [regexp -all -inline -line {^(?:FAILED|passed) .*$} \
        $output] end]
    set found [string match "FAILED*" $last]
    puts "[expr {$found ? "found" : "MISSED"}] $name: \
        [string range $last 0 230]"
    flush stdout
    return $found
}

set names [expr {[llength $argv] > 0 ? $argv : [dict keys $mutants]}]
set found 0
set block 215 ;# see test/scenarios.tcl
foreach name $names {
    incr found [run_mutant $name [incr block]]
}
puts "$found of [llength $names] mutants were found"
exit [expr {$found < [llength $names]}]
