package grlog

import (
	"go.uber.org/zap"

	"geraniumrouter/state/grident"
)

// Organisation returns the field that names an organisation, or none for "".
func Organisation(name grident.Organisation) zap.Field {
	if name == "" {
		return zap.Skip()
	}
	return zap.String("organisation", string(name))
}
