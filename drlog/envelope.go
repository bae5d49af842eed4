package drlog

import (
	"context"

	"google.golang.org/protobuf/proto"

	"github.com/dotterelridge/dotterelridge/drerror"
	"github.com/dotterelridge/dotterelridge/drpb"
)

// envelopeVersion is the newest record format that this process can decode.
// Records of newer formats are skipped.
const envelopeVersion = 1

// AppendEntry wraps an entry in a log record, appends it to the stream and returns
// its offset. Followers of the stream pass the entry to their Folder. A nil entry
// is appended as an empty one.
func AppendEntry(ctx context.Context, appender Appender, stream string, entry []byte) (uint64, error) {
	if entry == nil {
		entry = []byte{}
	}
	return appendRecord(ctx, appender, stream, &drpb.LogRecord{
		Version: envelopeVersion, Body: &drpb.LogRecord_Entry{Entry: entry},
	})
}

func appendRecord(ctx context.Context, appender Appender, stream string, record *drpb.LogRecord) (uint64, error) {
	data, err := proto.Marshal(record)
	if err != nil {
		return 0, drerror.Wrap(drerror.NotRun, drerror.Internal, err, "encode log record")
	}
	return appender.Append(ctx, stream, data)
}

// decodeRecord returns either the entry or the snapshot part of a record. ok is
// false if the record is malformed or of a newer format.
func decodeRecord(data []byte) (entry []byte, part *drpb.LogSnapshotPart, ok bool) {
	var r drpb.LogRecord
	if proto.Unmarshal(data, &r) != nil || r.Version > envelopeVersion {
		return nil, nil, false
	}
	switch body := r.Body.(type) {
	case *drpb.LogRecord_Entry:
		return body.Entry, nil, true
	case *drpb.LogRecord_SnapshotPart:
		return nil, body.SnapshotPart, true
	default:
		return nil, nil, false
	}
}

// hasNewerFormat reports whether a record was written in a format that only newer
// versions of this program can decode.
func hasNewerFormat(data []byte) bool {
	var r drpb.LogRecord
	return proto.Unmarshal(data, &r) == nil && (r.Version > envelopeVersion || len(r.ProtoReflect().GetUnknown()) > 0)
}
