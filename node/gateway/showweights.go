package gateway

import (
	"time"

	"heatherlock/node/gateway/status"
	"heatherlock/steering"
	"heatherlock/steering/placement"
)

// maxShownWeights bounds the weights of a service in the status.
const maxShownWeights = 32

// addWeights adds the weights of targets to the rows of services.
func addWeights(rows []status.Service, byService map[steering.Service]placement.ServiceWeights) {
	for n := range rows {
		w := byService[rows[n].Name]
		rows[n].WeightsBelowOne, rows[n].KeysMoved = len(w.Targets), w.Moved
		for _, t := range w.Targets[:min(len(w.Targets), maxShownWeights)] {
			rows[n].Weights = append(rows[n].Weights, status.Weight{Target: t.Target, Weight: t.Weight})
		}
	}
}

func (g *Gateway) balancerRows(now time.Time) []status.Balancer {
	var rows []status.Balancer
	for _, b := range g.loadReports.Balancers(now) {
		row := status.Balancer{Region: b.Region, VM: b.Balancer, From: b.From, Number: b.Number}
		if b.From != "" {
			row.AgeMs = b.Age.Milliseconds()
		}
		rows = append(rows, row)
	}
	return rows
}
