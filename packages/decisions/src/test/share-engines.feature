Feature: engines are spread evenly over the entries that order them

  Scenario: a rolling restart leaves no entry with every engine
    Symptom: 4 requests in 10 are refused for 11 s, since nobody orders any engine.
    Events: entries restart one after the other, then the one that stopped last is frozen.
    Cause: each engine went to an entry that was up, and stayed there when the others were back.
    Given 8 engines ordered by 5 entries
    When each entry restarts in turn
    Then no entry orders more than 2 engines

  Scenario: engines end up even from any start, and then stay
    Then for any entries and any holders the engines differ by one at most after a few handovers
    And even engines are not handed over

  Scenario: entries with the same view claim different engines
    Then for any entries each free engine has one first claimant and no entry is first for more than its share

  Scenario: an engine goes back to an entry that ordered it just before
    Symptom: an engine is ordered by two entries in turn, as by two that don't know of each other.
    Events: an entry hands an engine to another, which is stopped 0.7 s later; the first claims it anew.
    Cause: a claim did not ask what the claimant itself had ordered lately.
    Then for any handovers, stops and starts no entry orders an engine on both sides of another within a turn
