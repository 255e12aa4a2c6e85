package rig

import (
	"context"

	"github.com/pkg/errors"

	"github.com/mangomast/mangomast/config"
	"github.com/mangomast/mangomast/store/etcd"
)

// Owners returns the owner table from the store, or nil if there is none.
func (r *Rig) Owners(ctx context.Context) (*config.OwnerTable, error) {
	listing, err := etcd.New(etcd.Options{Endpoints: []string{r.StoreURL}}).Get(ctx, StorePrefix+config.OwnersKey)
	if err != nil || len(listing.Records) == 0 {
		return nil, err
	}
	return config.ParseOwners(listing.Records[0].Value, listing.Records[0].ModRevision)
}

// Owner returns the node that owns an organisation according to the owner table
// in the store.
func (r *Rig) Owner(ctx context.Context, organisation string) (*Node, error) {
	table, err := r.Owners(ctx)
	if err != nil {
		return nil, err
	}
	owner, _ := table.Owner(organisation)
	for _, node := range r.Nodes {
		if node.Spec.VM == owner.VM {
			return node, nil
		}
	}
	return nil, errors.Errorf("no node of the rig owns organisation %s", organisation)
}
