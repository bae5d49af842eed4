package drcontroller

import (
	"github.com/dotterelridge/dotterelridge/drfleet"
	"github.com/dotterelridge/dotterelridge/drstore"
	"github.com/dotterelridge/dotterelridge/drtask"
)

// guardedCodec decodes records of the store, which other programs write. A record
// that makes the decoder panic counts as unreadable.
type guardedCodec struct{ drstore.Codec }

// Deployment implements drstore.Codec.
func (c guardedCodec) Deployment(record []byte) (d *drfleet.Deployment, err error) {
	err = drtask.Try("decode-deployment", func() (err error) {
		d, err = c.Codec.Deployment(record)
		return err
	})
	return d, err
}

// Runner implements drstore.Codec.
func (c guardedCodec) Runner(id string, record []byte) (r *drfleet.Runner, err error) {
	err = drtask.Try("decode-runner", func() (err error) {
		r, err = c.Codec.Runner(id, record)
		return err
	})
	return r, err
}
