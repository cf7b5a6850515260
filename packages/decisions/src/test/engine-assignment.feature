Feature: engines are distributed evenly over the entries that hold them

  Scenario: a rolling restart leaves no entry with every engine
    4 requests in 10 are refused for 11 s, since no engine gets load orders. This happens when entries restart one after the
    other, each engine goes to an entry that is running and stays there when the others are back, and the entry that stopped
    last is then frozen.
    Given 8 engines held by 5 entries
    When each entry restarts in turn
    Then no entry holds more than 2 engines

  Scenario: engines end up evenly distributed from any start, and then stay
    Then for any entries and any holders the engines differ by one at most after a few handovers
    And evenly distributed engines are not handed over

  Scenario: entries with the same view claim different engines
    Then for any entries each free engine has one first claimant and no entry is first for more than its share

  Scenario: an engine returns to an entry that held it just before
    An engine gets orders of two entries in turn, as if each believed to be its only holder. This happens when an entry
    hands an engine to another one, which is stopped 0.7 s later, and the first one claims it again at once.
    Then for any handovers, stops and starts no entry holds an engine both before and after another within a holder turn
