/* Compression of records between hosts (deflate, zlib). Each record is
 * compressed by itself, against the record before it on the same connection
 * as dictionary: records of one connection resemble each other, and no
 * connection keeps a compressor's state. */
#ifndef CAROBWIND_SHARE_COMPRESSION_H
#define CAROBWIND_SHARE_COMPRESSION_H

#include <stdbool.h>
#include <stddef.h>

/* Bytes of the former record that serve as dictionary: headers stand at the
 * start of a record, rows behind them do not repeat. */
#define CbwCompression_DICTIONARY_MAX 512
/* Shorter records are sent as they are: little is left of them. */
#define CbwCompression_RECORD_MIN 64

/* What both ends remember of one direction of a connection. Zeroed memory is
 * a valid start. */
typedef struct {
    unsigned char *bytes; /* NULL until the first record */
    size_t size;
} cbw_dictionary_t;

void CbwDictionary_Finish(cbw_dictionary_t *dictionary);
/* Remembers the start of a record. */
void CbwDictionary_Set(cbw_dictionary_t *dictionary, const char *record,
                       size_t size);

/* Writes the compressed record to `output` of `size` bytes. Returns its
 * length; 0 when it would not be shorter than the record. */
size_t CbwCompression_Compress(const cbw_dictionary_t *dictionary,
                               const char *record, size_t size, char *output);
/* Returns the record's bytes, owned by the caller, and their number in
 * `record_size`; NULL when `packed` is malformed or the record would be longer
 * than `size_max`. */
char *CbwCompression_Decompress(const cbw_dictionary_t *dictionary,
                                const char *packed, size_t size,
                                size_t size_max, size_t *record_size);

#endif
