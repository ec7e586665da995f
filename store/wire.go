package store

import "pumiceford/wire"

// ToWire encodes records for a peer or a copy.
func ToWire(recs []Record) []*wire.StoreRecord {
	out := make([]*wire.StoreRecord, 0, len(recs))
	for _, r := range recs {
		out = append(out, &wire.StoreRecord{Key: r.Key, Value: r.Value, Offset: r.Offset})
	}
	return out
}

// FromWire decodes what ToWire encoded.
func FromWire(recs []*wire.StoreRecord) []Record {
	out := make([]Record, 0, len(recs))
	for _, r := range recs {
		out = append(out, Record{Key: r.GetKey(), Value: r.GetValue(), Offset: r.GetOffset()})
	}
	return out
}
