package dispatch

import (
	"encoding/binary"
	"errors"
	"maps"
	"slices"

	"github.com/fxamacker/cbor/v2"

	"corianderhub.dev/corianderhub/internal/core/occupancy"
)

// The steward sends the load of all groups to each daemon several times a second, and names and
// CBOR maps make up most of that. GroupLoads and GroupReadings are therefore encoded as one byte
// string: the entries in the order of their names, each with the length of the prefix that its name
// shares with the one before, the rest of the name, and its numbers as variable-length integers.

// GroupLoads holds loads by group name.
type GroupLoads map[string]Load

// GroupReadings holds loads that groups' leaders have stated, by group name.
type GroupReadings map[string]occupancy.Shared

// contextUnit is the number of tokens to which context tokens are rounded in messages. It is under 1%
// of the context of one request.
const contextUnit = 8

// MarshalCBOR implements cbor.Marshaler.
func (gl GroupLoads) MarshalCBOR() ([]byte, error) {
	return pack(gl, func(buf []byte, lo Load) []byte {
		buf = binary.AppendVarint(buf, int64(lo.Requests))
		buf = binary.AppendVarint(buf, lo.PrefillTokens)
		return binary.AppendVarint(buf, lo.ContextTokens/contextUnit)
	})
}

// UnmarshalCBOR implements cbor.Unmarshaler.
func (gl *GroupLoads) UnmarshalCBOR(raw []byte) error {
	loads, err := unpack(raw, func(un *unpacker) Load {
		return Load{Requests: int(un.varint()), PrefillTokens: un.varint(), ContextTokens: un.varint() * contextUnit}
	})
	*gl = loads
	return err
}

// MarshalCBOR implements cbor.Marshaler.
func (gr GroupReadings) MarshalCBOR() ([]byte, error) {
	return pack(gr, func(buf []byte, sh occupancy.Shared) []byte {
		return binary.AppendVarint(binary.AppendVarint(buf, int64(sh.Requests)), sh.AgeMillis)
	})
}

// UnmarshalCBOR implements cbor.Unmarshaler.
func (gr *GroupReadings) UnmarshalCBOR(raw []byte) error {
	readings, err := unpack(raw, func(un *unpacker) occupancy.Shared {
		return occupancy.Shared{Requests: int(un.varint()), AgeMillis: un.varint()}
	})
	*gr = readings
	return err
}

// pack encodes the entries, each with the numbers that add appends.
func pack[V any](entries map[string]V, add func([]byte, V) []byte) ([]byte, error) {
	var buf []byte
	before := ""
	for _, name := range slices.Sorted(maps.Keys(entries)) {
		shared := commonPrefix(before, name)
		buf = binary.AppendUvarint(buf, uint64(shared))
		buf = binary.AppendUvarint(buf, uint64(len(name)-shared))
		buf = append(buf, name[shared:]...)
		buf = add(buf, entries[name])
		before = name
	}
	return cbor.Marshal(buf)
}

// commonPrefix returns the length of the common prefix of two names.
func commonPrefix(one, other string) int {
	num := 0
	for num < min(len(one), len(other)) && one[num] == other[num] {
		num++
	}
	return num
}

// unpack decodes what pack has encoded; read reads the numbers of an entry.
func unpack[V any](raw []byte, read func(*unpacker) V) (map[string]V, error) {
	un := &unpacker{}
	if err := cbor.Unmarshal(raw, &un.rest); err != nil {
		return nil, err
	}
	entries := make(map[string]V)
	name := ""
	for len(un.rest) > 0 && !un.failed {
		name = un.name(name)
		entries[name] = read(un)
	}
	if un.failed {
		return nil, errPacked
	}
	return entries, nil
}

var errPacked = errors.New("dispatch: malformed loads of groups")

// unpacker reads from a byte string. failed is set once it was too short or malformed.
type unpacker struct {
	rest   []byte
	failed bool
}

func (un *unpacker) varint() int64 {
	val, num := binary.Varint(un.rest)
	un.skip(num)
	return val
}

func (un *unpacker) uvarint() uint64 {
	val, num := binary.Uvarint(un.rest)
	un.skip(num)
	return val
}

// skip removes the next num bytes. num is not positive if a number was malformed.
func (un *unpacker) skip(num int) {
	if num <= 0 {
		un.failed, un.rest = true, nil
		return
	}
	un.rest = un.rest[num:]
}

// name reads a name that shares a prefix with the one before.
func (un *unpacker) name(before string) string {
	shared, length := un.uvarint(), un.uvarint()
	if shared > uint64(len(before)) || length > uint64(len(un.rest)) {
		un.failed, un.rest = true, nil
		return ""
	}
	name := before[:shared] + string(un.rest[:length])
	un.rest = un.rest[length:]
	return name
}
