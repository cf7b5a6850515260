Feature: what requests waited for is read from logs alone

  Scenario: waits, refusals, loads and who orders engines
    Given logs of two entries, in which a draft waited for its adapter and one was refused
    When the load is reported
    Then it gives the waits by part, the cause of the refusal, the loads by origin and the engines by holder

  Scenario: a span of time
    Given logs of two entries, in which a draft waited for its adapter and one was refused
    When the load of the first second is reported
    Then it leaves out what came later

  Scenario: a page with plots
    Given logs of two entries, in which a draft waited for its adapter and one was refused
    When the load is reported as a page
    Then it holds a bar for each end of a request and loads nothing from elsewhere
