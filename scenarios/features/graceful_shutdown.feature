Feature: A planned stop cuts no request

  Background:
    Given the ARCQ deployment with regions mtl and qc

  Scenario: A node stops while bookings run
    When 8 bookings of 900 ms are running through mtl-2
    And mtl-2 is told to stop
    Then every booking gets its own whole answer
    And every booking ran exactly once
    And mtl-2 stopped cleanly within 5000 ms

  Scenario: A late booking still reaches the stopping node
    When mtl-2 is told to stop
    And a late booking arrives at mtl-2
    Then every booking gets its own whole answer
    And mtl-2 stopped cleanly within 5000 ms
