#include "share/compression.h"

#include <stdlib.h>
#include <string.h>
#include <zlib.h>

/* 2 KiB: large enough for the dictionary and a typical record. */
#define WINDOW_BITS 11
/* Keeps the hash tables small, as they are cleared for each record. */
#define MEMORY_LEVEL 4
#define INITIAL_OUTPUT_SIZE ((size_t)2048)

void
CbwDictionary_Finish(cbw_dictionary_t *dictionary)
{
    free(dictionary->bytes);
    dictionary->bytes = NULL;
    dictionary->size = 0;
}

void
CbwDictionary_Set(cbw_dictionary_t *dictionary, const char *record,
                  size_t size)
{
    if (dictionary->bytes == NULL) {
        dictionary->bytes = malloc(CbwCompression_DICTIONARY_MAX);
        if (dictionary->bytes == NULL) {
            abort(); /* the dictionaries of the two ends would diverge */
        }
    }
    dictionary->size = size < CbwCompression_DICTIONARY_MAX
                           ? size
                           : CbwCompression_DICTIONARY_MAX;
    memcpy(dictionary->bytes, record, dictionary->size);
}

/* The process has one compressor and one decompressor, since it handles one
 * record at a time. */

static z_stream *
compressor(void)
{
    static z_stream stream;
    static bool ready;

    if (!ready) {
        ready = deflateInit2(&stream, Z_BEST_SPEED, Z_DEFLATED, -WINDOW_BITS,
                             MEMORY_LEVEL, Z_DEFAULT_STRATEGY) == Z_OK;
    }
    else {
        deflateReset(&stream);
    }
    return ready ? &stream : NULL;
}

static z_stream *
decompressor(void)
{
    static z_stream stream;
    static bool ready;

    if (!ready) {
        ready = inflateInit2(&stream, -WINDOW_BITS) == Z_OK;
    }
    else {
        inflateReset(&stream);
    }
    return ready ? &stream : NULL;
}

size_t
CbwCompression_Compress(const cbw_dictionary_t *dictionary, const char *record,
                        size_t size, char *output)
{
    z_stream *stream;

    if (size < CbwCompression_RECORD_MIN) {
        return 0;
    }
    stream = compressor();
    if (stream == NULL) {
        return 0;
    }
    if (dictionary->size > 0) {
        deflateSetDictionary(stream, dictionary->bytes,
                             (uInt)dictionary->size);
    }
    stream->next_in = (Bytef *)record;
    stream->avail_in = (uInt)size;
    stream->next_out = (Bytef *)output;
    stream->avail_out = (uInt)size - 1;
    if (deflate(stream, Z_FINISH) != Z_STREAM_END) {
        return 0;
    }
    return size - 1 - stream->avail_out;
}

/* Inflates all input of `stream` into a buffer that grows up to `size_max`
 * bytes. Returns the buffer, or NULL. */
static char *
inflate_all(z_stream *stream, size_t size_max, size_t *record_size)
{
    size_t capacity =
        INITIAL_OUTPUT_SIZE < size_max ? INITIAL_OUTPUT_SIZE : size_max;
    size_t used = 0;
    char *record = NULL;

    for (;;) {
        char *grown = realloc(record, capacity);
        int status;
        if (grown == NULL) {
            break;
        }
        record = grown;
        stream->next_out = (Bytef *)record + used;
        stream->avail_out = (uInt)(capacity - used);
        status = inflate(stream, Z_NO_FLUSH);
        used = capacity - stream->avail_out;
        if (status == Z_STREAM_END && stream->avail_in == 0) {
            *record_size = used;
            return record;
        }
        if (status != Z_OK || stream->avail_out > 0 || capacity >= size_max) {
            break; /* malformed, truncated or too large */
        }
        capacity = capacity * 2 < size_max ? capacity * 2 : size_max;
    }
    free(record);
    return NULL;
}

char *
CbwCompression_Decompress(const cbw_dictionary_t *dictionary,
                          const char *compressed, size_t size, size_t size_max,
                          size_t *record_size)
{
    z_stream *stream = decompressor();

    if (stream == NULL) {
        return NULL;
    }
    if (dictionary->size > 0 &&
        inflateSetDictionary(stream, dictionary->bytes,
                             (uInt)dictionary->size) != Z_OK) {
        return NULL;
    }
    stream->next_in = (Bytef *)compressed;
    stream->avail_in = (uInt)size;
    return inflate_all(stream, size_max, record_size);
}
