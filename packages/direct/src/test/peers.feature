Feature: what entries tell each other

  Scenario: a large configuration over a slow link
    Symptom: a route that operators added is refused by some entries for up to 14 s.
    Events: a configuration of 1,825 routes is written; three entries ask one that watches the store, over its link of 7 Mbit/s.
    Cause: none had the whole answer within its time limit, and each asked the next one from the start.
    When 3 entries ask one for changes, over its link of 7 Mbit/s, and a configuration of 1825 routes is among them
    Then each has it

  Scenario: an entry that does not say that it reads compressed answers
    Guards against entries of two versions that do not understand each other while they are replaced.
    When an entry of a version that knows no compression asks for a large state
    Then it can read the answer

  Scenario: an entry of a version that does not know what it is told
    Guards against a word that counts as told, though the other entry answered that it knows no such path.
    When an entry that knows none of the paths is told what an upstream says
    Then it is not told

  Scenario: entries whose leases have lapsed in an outage of the store
    Guards against each entry taking for itself all of what it shares with the others, while it hears of them again.
    When 22 entries that know each other hear of themselves alone for 1500 ms
    Then their repeats keep within a slack of 50 in every 10 s

  Scenario: entries that have left
    When 22 entries that know each other hear of themselves alone for 6000 ms
    Then each counts itself alone

  Scenario: calls of an entry that has ended
    Guards against calls of an entry that has ended, to a port that another process may have by then.
    When an entry that has ended asks another one for its state
    Then the other one gets no call
