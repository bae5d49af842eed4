package drcontroller

import (
	"bytes"
	"compress/flate"
	"errors"
	"io"
)

// maxRecordBytes bounds a decompressed configuration.
const maxRecordBytes = 16 << 20

var errRecordTooLarge = errors.New("the decompressed configuration exceeds the size limit")

// deflate compresses a configuration. Configurations with many routes shrink to
// less than a tenth; a fleet would otherwise load the controller's link for
// seconds when one changes.
func deflate(record []byte) ([]byte, error) {
	w, err := flate.NewWriter(nil, flate.BestSpeed)
	if err != nil {
		return nil, err
	}
	return deflateWith(w, record)
}

// deflateWith is deflate with a writer that is used again.
func deflateWith(w *flate.Writer, record []byte) ([]byte, error) {
	var out bytes.Buffer
	w.Reset(&out)
	if _, err := w.Write(record); err != nil {
		return nil, err
	}
	if err := w.Close(); err != nil {
		return nil, err
	}
	return out.Bytes(), nil
}

// inflate decompresses what deflate returned.
func inflate(deflated []byte) ([]byte, error) {
	r := flate.NewReader(bytes.NewReader(deflated))
	record, err := io.ReadAll(io.LimitReader(r, maxRecordBytes+1))
	if err == nil && len(record) > maxRecordBytes {
		err = errRecordTooLarge
	}
	return record, err
}
