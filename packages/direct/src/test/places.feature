Feature: places in the batches of engines

  Scenario: streams of many entries and engines with few places
    Symptom: half of the drafts come late, though a third of all places is free.
    Events: 68 entries send 330 streams a second to 84 engines of 12 places, each to an engine that it seldom sends to.
    Cause: an entry knew its own streams only, so that nobody knew which engine was full.
    By guess 89 in 100 begin in time and 113 wait beside free places; with places given out by holders 99, and 9.
    Then with places given out by holders 98 in 100 streams begin in time, and 12 at most wait beside free places

  Scenario: an engine's places
    Then a holder counts what it let in and what entries say has ended, whatever the order
    And a lost entry's requests count no more after 5 s

  Scenario: words on loads
    Then what is no word on a load is left out
    And every engine that an entry knows of is told of in turn, its own ones always
