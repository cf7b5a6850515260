Feature: operators see upstreams and organisations as the running entries do

  Scenario: the answers of all entries are merged
    Given entry "e1" holds engine "i-1" and knows entry "e2", which knows it by an older load
    When an operator asks for the upstreams at "e1"
    Then "i-1" has the load, the fence and the speed that "e1" counted, and the open requests of both

  Scenario: an entry that does not answer
    Guards against an operator who takes the rows of some entries for those of all.
    Given entry "e1" holds engine "i-1" and knows entry "e2", which does not answer
    When an operator asks for the upstreams at "e1"
    Then the output names "e2" and why it gives no answer

  Scenario: an entry whose answer is cut short
    Guards against an operator who takes a part of an entry's answer for all of it.
    Given entry "e1" holds engine "i-1" and knows entry "e2", which ends its answers without a length too early
    When an operator asks for the upstreams at "e1"
    Then the output names "e2" as one whose answer can't be read

  Scenario: the entry that is asked has ended
    Given entry "e1" holds engine "i-1" and knows entry "e2", which knows it by an older load
    When an operator asks for the upstreams at an address where nothing listens, and at "e2"
    Then "i-1" has the load, the fence and the speed that "e1" counted, and the open requests of both

  Scenario: an upstream that leaves
    Guards against an upstream that is shown as ready since the entry asked first has an older view.
    Then an upstream that one of two entries lists as draining is shown as draining

  Scenario: organisations over all entries
    Given entries "e1" and "e2" with requests of organisation "north"
    When an operator asks for the organisations at "e1"
    Then the row of "north" has its limit, the sum of its units and its refusals by cause

  Scenario: no entry answers
    When an operator asks for the upstreams at an address where nothing listens
    Then the command ends with the code for an unreachable platform
