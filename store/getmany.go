package store

import (
	"context"
	"strings"
)

// maxSingleReads is the number of keys up to which GetMany reads them one by
// one; more are taken from one listing of the prefix.
const maxSingleReads = 8

// GetMany reads the keys with the names below the prefix. The records' keys
// are the names; names without a key are left out.
func GetMany(ctx context.Context, s Store, prefix string, names []string) ([]Record, error) {
	if len(names) > maxSingleReads {
		return listed(ctx, s, prefix, names)
	}
	var records []Record
	for _, name := range names {
		listing, err := s.Get(ctx, prefix+name)
		if err != nil {
			return nil, err
		}
		for _, record := range listing.Records {
			record.Key = name
			records = append(records, record)
		}
	}
	return records, nil
}

func listed(ctx context.Context, s Store, prefix string, names []string) ([]Record, error) {
	listing, err := s.List(ctx, prefix)
	if err != nil {
		return nil, err
	}
	wanted := make(map[string]bool, len(names))
	for _, name := range names {
		wanted[name] = true
	}
	var records []Record
	for _, record := range listing.Records {
		record.Key = strings.TrimPrefix(record.Key, prefix)
		if wanted[record.Key] {
			records = append(records, record)
		}
	}
	return records, nil
}
