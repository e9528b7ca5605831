/* Compression of RPC records between hosts (raw deflate, zlib). Each record is
 * compressed on its own, with the start of the previous record in the same
 * direction of the connection as preset dictionary: successive records
 * resemble each other, and no compressor state is kept per connection. */
#ifndef CAROBWIND_SHARE_COMPRESSION_H
#define CAROBWIND_SHARE_COMPRESSION_H

#include <stdbool.h>
#include <stddef.h>

/* Size of the dictionary in bytes. The header at the start of a record
 * resembles that of the previous record; the rows after it do not. */
#define CbwCompression_DICTIONARY_MAX 512
/* Shorter records are sent uncompressed: compression would save too little. */
#define CbwCompression_RECORD_MIN 64

/* The dictionary of one direction of a connection. Both ends must update it
 * for the same records. Zero-initialized memory is an empty dictionary. */
typedef struct {
    unsigned char *bytes; /* owned; NULL until the first record */
    size_t size;
} cbw_dictionary_t;

/* Frees the dictionary's memory and leaves it empty. */
void CbwDictionary_Finish(cbw_dictionary_t *dictionary);
/* Replaces the dictionary with the start of `record`. */
void CbwDictionary_Set(cbw_dictionary_t *dictionary, const char *record,
                       size_t size);

/* Compresses `record` into `output`, which has room for `size` bytes. Returns
 * the compressed size, or 0 when the record is too short, would not shrink or
 * the compressor could not be initialized. */
size_t CbwCompression_Compress(const cbw_dictionary_t *dictionary,
                               const char *record, size_t size, char *output);
/* Returns the decompressed record, which the caller frees, and sets
 * `record_size`. Returns NULL when `compressed` is malformed, the record would
 * exceed `size_max` bytes or memory ran out. */
char *CbwCompression_Decompress(const cbw_dictionary_t *dictionary,
                                const char *compressed, size_t size,
                                size_t size_max, size_t *record_size);

#endif
