// SPDX-License-Identifier: MIT

// Package lang implements the operators' language: queries about requests that are
// waiting, running or refused, and commands that change the catalog.
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
// Any command may end in "at N": it is then applied only to version N of the catalog.
// Syntax errors give the column. Query.Run and Command.Changes are pure functions.
package lang
