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

// errTooLarge is returned for a message of more than maxMessageBytes.
var errTooLarge = errors.New("encoded message exceeds 4 MiB")

// encodeFrame returns the encoded message, preceded by its length in bytes as
// an unsigned varint.
func encodeFrame(message proto.Message) ([]byte, error) {
	n := proto.Size(message)
	if n > maxMessageBytes {
		return nil, errTooLarge
	}
	b := binary.AppendUvarint(make([]byte, 0, n+binary.MaxVarintLen32), uint64(n))
	b, err := proto.MarshalOptions{UseCachedSize: true}.MarshalAppend(b, message)
	if err != nil {
		return nil, fmt.Errorf("encode message: %w", err)
	}
	return b, nil
}

// readFrame reads a message written by encodeFrame. It allocates memory for the
// bytes received and not for the length announced, so that a hostile peer
// cannot make it allocate much with a few bytes. The error is io.EOF only if
// the stream ended before the first byte.
func readFrame(reader *bufio.Reader, message proto.Message) error {
	length, err := binary.ReadUvarint(reader)
	if err != nil {
		return err
	}
	if length > maxMessageBytes {
		return errTooLarge
	}
	var body bytes.Buffer
	if _, err := io.CopyN(&body, reader, int64(length)); err != nil {
		if errors.Is(err, io.EOF) {
			err = io.ErrUnexpectedEOF
		}
		return err
	}
	if err := proto.Unmarshal(body.Bytes(), message); err != nil {
		return fmt.Errorf("decode message: %w", err)
	}
	return nil
}
