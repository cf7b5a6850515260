Feature: engines with few slots under more requests than they can serve

  Scenario: who can still be in time goes first
    Symptom: of a hundred streams 22 to 29 come late and 59 in time, though 78 could come in time.
    Events: more adapters are asked for than there are slots, for half a minute; requests that wait ask again.
    Cause: each repeated ask counted as a further request, so that whoever had waited longest was loaded first, and kept
    its slot longest. Callers got 0.67 of what an idle engine gives, and get 0.80 when a request counts once.
    Then at twice the load that the slots can carry callers get 0.78 of what they would get from an idle engine
