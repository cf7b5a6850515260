Feature: batch slots of engines

  Scenario: streams from many entries on engines with few batch slots
    Symptom: half of the drafts begin late, though a third of all batch slots is free.
    Events: 68 entries send 330 streams a second to 84 engines of 12 batch slots each; each entry seldom sends to any one engine.
    Cause: each entry knows only its own streams, so no entry knows which engine is full.
    If each entry counts only its own streams, 89 in 100 begin in time and 113 wait while batch slots are free; with slots granted by holders, 99 in 100 begin in time and 9 wait.
    Then with batch slots granted by holders 98 in 100 streams begin in time, and 12 at most wait while batch slots are free

  Scenario: an engine's batch slots
    Then a holder counts the requests that it admitted less those that entries report as ended, in any sequence
    And the requests of a lost entry no longer count after 5 s

  Scenario: load digests
    Then whatever is not a load digest is ignored
    And every engine that an entry knows of is reported in turn, and those that it holds always
