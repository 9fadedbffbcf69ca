package wire

import (
	"testing"

	"github.com/shoenig/test/must"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protoreflect"

	"daisysaddle/core/golden"
)

// TestFramesKeepTheirBytes guards against a change of the messages between entries of different builds.
func TestFramesKeepTheirBytes(t *testing.T) {
	for _, name := range []string{"hello", "status", "record", "orders", "answers"} {
		stored := golden.Read(t, name+".bin")
		var f Frame
		must.NoError(t, proto.Unmarshal(stored, &f))
		set := f.ProtoReflect().WhichOneof(f.ProtoReflect().Descriptor().Oneofs().ByName("body"))
		must.Eq(t, protoreflect.Name(name), set.Name())
		must.SliceEmpty(t, f.ProtoReflect().Get(set).Message().GetUnknown())
		again, err := proto.MarshalOptions{Deterministic: true}.Marshal(&f)
		must.NoError(t, err)
		must.Eq(t, stored, again)
	}
}
