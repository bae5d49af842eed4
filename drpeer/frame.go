package drpeer

import (
	"bufio"
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"io"

	"google.golang.org/protobuf/proto"
)

// errTooLarge is returned for a message above maxMessage.
var errTooLarge = errors.New("message exceeds 4 MiB")

// encodeFrame returns m preceded by its length as uvarint.
func encodeFrame(m proto.Message) ([]byte, error) {
	n := proto.Size(m)
	if n > maxMessage {
		return nil, errTooLarge
	}
	b := binary.AppendUvarint(make([]byte, 0, n+binary.MaxVarintLen32), uint64(n))
	b, err := proto.MarshalOptions{UseCachedSize: true}.MarshalAppend(b, m)
	if err != nil {
		return nil, fmt.Errorf("encode message: %w", err)
	}
	return b, nil
}

// readFrame reads a message written by encodeFrame. Memory grows with the
// bytes received, not with the announced length. The error is io.EOF only if
// the stream ended before the first byte.
func readFrame(r *bufio.Reader, m proto.Message) error {
	n, err := binary.ReadUvarint(r)
	if err != nil {
		return err
	}
	if n > maxMessage {
		return errTooLarge
	}
	var b bytes.Buffer
	if _, err := io.CopyN(&b, r, int64(n)); err != nil {
		if errors.Is(err, io.EOF) {
			err = io.ErrUnexpectedEOF
		}
		return err
	}
	if err := proto.Unmarshal(b.Bytes(), m); err != nil {
		return fmt.Errorf("decode message: %w", err)
	}
	return nil
}
