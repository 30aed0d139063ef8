package ledger

import (
	"bytes"
	"testing"
)

func TestCompressedValues(t *testing.T) {
	whole := bytes.Repeat([]byte("value "), 1000)
	if got, err := decompress(compress(whole)); err != nil || !bytes.Equal(got, whole) {
		t.Errorf("%d bytes, error %v; want the %d bytes that were compressed", len(got), err, len(whole))
	}
	if got, err := decompress([]byte("{}")); err != nil || string(got) != "{}" {
		t.Errorf("%q, error %v; want a plain value as it is", got, err)
	}
	compressed := compress(whole)
	for name, value := range map[string][]byte{
		"the beginning only":            compressed[:len(compressed)/2],
		"no more than the first bytes":  gzipMagic,
		"another checksum":              append(bytes.Clone(compressed[:len(compressed)-8]), 1, 2, 3, 4, 5, 6, 7, 8),
		"more than a value may take up": compress(make([]byte, maxDecompressedBytes+1)),
	} {
		if _, err := decompress(value); err == nil {
			t.Errorf("%s: no error", name)
		}
	}
}
