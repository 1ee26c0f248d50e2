// SPDX-License-Identifier: MIT

// Package lang is the operators' language: questions about what waits, runs and
// was refused, and commands that change the catalog.
//
//	show waiting
//	show running by team, endpoint where tier = gold order by count desc limit 5
//	show refused by reason where pool = chef and team != blogs
//
//	drain endpoint chef-01
//	return endpoint chef-01
//	set tier gold rank 5
//	set pool chef max_waiting 500
//	set pool chef prefill_weight 2.5
//	set team blogs tier silver
//	set rule blogs card-api tier bronze
//	delete team blogs
//
// Any command may end in "at N": it is then only carried out on version N of the
// catalog. Parse answers with the column of a mistake. Query.Run and
// Command.Changes are pure.
package lang
