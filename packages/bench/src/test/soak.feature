Feature: a short soak of real processes
  Every promise is checked against the stand-ins' own record, under faults that come alone and together.

  Scenario: a fixed seed
    When a soak with seed 20261202 runs for 10 seconds
    Then it made requests and faults and found no violation
