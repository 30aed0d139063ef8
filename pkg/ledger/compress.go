package ledger

import (
	"bytes"
	"compress/gzip"
	"fmt"
	"io"
)

// gzipMagic begins a compressed value. No JSON text begins so.
var gzipMagic = []byte{0x1f, 0x8b}

// maxDecompressedBytes limits what a value may decompress to: many times the largest body of a
// submission, in which a character may take six bytes.
const maxDecompressedBytes = 16 << 20

// compress returns a compressed value.
func compress(value []byte) []byte {
	var buffer bytes.Buffer
	w := gzip.NewWriter(&buffer)
	// Writes to a buffer do not fail.
	_, err := w.Write(value)
	if err == nil {
		err = w.Close()
	}
	if err != nil {
		panic(err)
	}
	return buffer.Bytes()
}

// decompress returns the value that compress was given, or the value itself if it is not compressed.
func decompress(value []byte) ([]byte, error) {
	if !bytes.HasPrefix(value, gzipMagic) {
		return value, nil
	}
	r, err := gzip.NewReader(bytes.NewReader(value))
	if err != nil {
		return nil, err
	}
	value, err = io.ReadAll(io.LimitReader(r, maxDecompressedBytes+1))
	if err == nil && len(value) > maxDecompressedBytes {
		err = fmt.Errorf("compressed value of more than %d bytes", maxDecompressedBytes)
	}
	return value, err
}
