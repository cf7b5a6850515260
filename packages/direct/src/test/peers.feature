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
