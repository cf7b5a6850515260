Feature: a short soak of real processes
  Every guarantee is checked against the stand-ins' own records, under faults that occur alone and together.

  Scenario: a fixed seed
    When a soak with seed 20261202 runs for 10 seconds
    Then requests were answered, faults were injected and no guarantee was violated
