#include "carobwind/local_health.h"

#include <string.h>

#include <xxhash.h>

static uint32_t
hash_place(const char *place)
{
    uint32_t hash = XXH32(place, strlen(place), 0);

    return hash != 0 ? hash : 1;
}

/* Returns the index of a place, or that of a free slot; -1: there is none. */
static int
find_place(const cbw_local_health_t *health, const char *place)
{
    uint32_t hash = hash_place(place);

    for (int i = 0; i < Cbw_LOCAL_HEALTH_PLACES; i++) {
        if (health->places[i].hash == hash || health->places[i].hash == 0) {
            return i;
        }
    }
    return -1;
}

void
CbwLocalHealth_OnTick(cbw_local_health_t *health, cbw_time_t now,
                      cbw_time_t interval)
{
    cbw_time_t delay =
        health->ticked_at != 0 ? now - health->ticked_at - interval : 0;

    health->ticked_at = now;
    if (delay < Cbw_LOCAL_HEALTH_TOLERANCE) {
        return;
    }
    if (health->loop_late_at == 0 ||
        now - health->loop_late_at >= Cbw_LOCAL_HEALTH_WINDOW ||
        delay > health->loop_delay) {
        health->loop_delay = delay;
    }
    health->loop_late_at = now;
}

void
CbwLocalHealth_OnAnswer(cbw_local_health_t *health, cbw_time_t now,
                        const char *place, cbw_time_t round_trip)
{
    int index = find_place(health, place);
    cbw_time_t delay;

    if (index < 0) {
        return;
    }
    if (health->places[index].hash == 0 ||
        round_trip < health->places[index].shortest) {
        health->places[index].hash = hash_place(place);
        health->places[index].shortest = round_trip;
    }
    if (now - health->answers_late_since >= Cbw_LOCAL_HEALTH_WINDOW) {
        health->late_answers = 0;
    }
    delay = round_trip - 2 * health->places[index].shortest;
    if (delay < Cbw_LOCAL_HEALTH_TOLERANCE) {
        return;
    }
    if (health->late_answers == 0) {
        health->answers_late_since = now;
        health->answer_delay = delay;
    }
    health->late_answers++;
    if (delay < health->answer_delay) {
        health->answer_delay = delay;
    }
}

cbw_time_t
CbwLocalHealth_Delay(const cbw_local_health_t *health, cbw_time_t now)
{
    cbw_time_t delay = 0;

    if (health->loop_late_at != 0 &&
        now - health->loop_late_at < Cbw_LOCAL_HEALTH_WINDOW) {
        delay = health->loop_delay;
    }
    if (health->late_answers >= Cbw_LOCAL_HEALTH_LATE_ANSWERS &&
        now - health->answers_late_since < Cbw_LOCAL_HEALTH_WINDOW &&
        health->answer_delay > delay) {
        delay = health->answer_delay;
    }
    return delay < Cbw_LOCAL_HEALTH_DELAY_MAX ? delay
                                              : Cbw_LOCAL_HEALTH_DELAY_MAX;
}

cbw_time_t
CbwLocalHealth_Widen(const cbw_local_health_t *health, cbw_time_t now,
                     cbw_time_t limit)
{
    return limit + 2 * CbwLocalHealth_Delay(health, now);
}

cbw_time_t
CbwLocalHealth_RoundTrip(const cbw_local_health_t *health, const char *place)
{
    int index = find_place(health, place);

    return index >= 0 && health->places[index].hash != 0
               ? health->places[index].shortest
               : 0;
}
