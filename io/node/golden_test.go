package node

import (
	"testing"

	"github.com/shoenig/test/must"
	"google.golang.org/protobuf/proto"

	"daisysaddle/core/golden"
	"daisysaddle/io/wire"
)

// TestRecordsKeepTheirBytes guards against a change of the outer names that earlier builds stored or send.
func TestRecordsKeepTheirBytes(t *testing.T) {
	golden.Check[Verdict](t, "Verdict")
	golden.Check[ownership](t, "ownership")
	golden.Check[Config](t, "Config")
}

// TestOrdersKeepTheirBytes guards against a change of the orders that entries of different builds send to each other.
func TestOrdersKeepTheirBytes(t *testing.T) {
	for _, name := range []string{"look", "start", "stop", "pace"} {
		stored := golden.Read(t, name+".bin")
		var m wire.Order
		must.NoError(t, proto.Unmarshal(stored, &m))
		w, order, _, err := decodeOrder(&m)
		must.NoError(t, err)
		again, err := proto.MarshalOptions{Deterministic: true}.Marshal(encodeOrder(m.GetCall(), w, order))
		must.NoError(t, err)
		must.Eq(t, stored, again)
	}
	stored := golden.Read(t, "answer.bin")
	var m wire.Answer
	must.NoError(t, proto.Unmarshal(stored, &m))
	again, err := proto.MarshalOptions{Deterministic: true}.Marshal(encodeAnswer(m.GetCall(), decodeAnswer(&m)))
	must.NoError(t, err)
	must.Eq(t, stored, again)
}
